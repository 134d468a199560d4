package policy

import (
	"time"

	"yardflow/internal/fleet/outlier"
)

// OutlierEjection is how workers are ejected for the whole fleet; what is left out is as outlier.DefaultSettings says.
type OutlierEjection struct {
	Enabled           bool      `toml:"enabled"`
	MinReporters      int       `toml:"witnesses,omitempty"`
	MinFailures       int       `toml:"failures,omitempty"`
	HalfLife          Duration  `toml:"half_life,omitempty"`
	ObjectionWindow   *Duration `toml:"hearing,omitempty"` // a pointer, since 0 is a setting
	MaxEjectedShare   float64   `toml:"most,omitempty"`
	TrialInterval     Duration  `toml:"pace,omitempty"`
	TrialsToReinstate int       `toml:"pass,omitempty"`
}

// OutlierSettings are the settings of outlier ejection; nil: it is off.
func (d *Document) OutlierSettings() *outlier.Settings {
	stated := d.OutlierEjection
	if stated == nil || !stated.Enabled {
		return nil
	}
	s := outlier.DefaultSettings()
	orElse(&s.MinReporters, stated.MinReporters)
	orElse(&s.MinFailures, stated.MinFailures)
	orElse(&s.HalfLife, time.Duration(stated.HalfLife))
	orElse(&s.MaxEjectedShare, stated.MaxEjectedShare)
	orElse(&s.TrialInterval, time.Duration(stated.TrialInterval))
	orElse(&s.TrialsToReinstate, stated.TrialsToReinstate)
	if stated.ObjectionWindow != nil {
		s.ObjectionWindow = time.Duration(*stated.ObjectionWindow)
	}
	return &s
}
