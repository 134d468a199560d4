package policy

import (
	"time"

	"yardflow/scheduling/backfill"
)

// Reservations is how capacity is reserved for large jobs; what is left out is as backfill.DefaultSettings says.
type Reservations struct {
	Enabled         bool      `toml:"enabled"`
	Mode            string    `toml:"mode,omitempty"`
	Quantile        float64   `toml:"quantile,omitempty"`
	MaxReservations int       `toml:"most,omitempty"`
	ReservationTTL  Duration  `toml:"longest,omitempty"`
	IdleBudget      float64   `toml:"budget,omitempty"`
	MaxJobDelay     *Duration `toml:"small_wait,omitempty"` // a pointer, since 0 is a setting
	LargeRuns       float64   `toml:"large,omitempty"`
}

// Settings are the settings of reservations; nil: nothing is reserved.
func (r *Reservations) Settings() *backfill.Settings {
	if !r.Enabled {
		return nil
	}
	s := backfill.DefaultSettings()
	orElse(&s.Mode, backfill.Mode(r.Mode))
	orElse(&s.Quantile, r.Quantile)
	orElse(&s.MaxReservations, r.MaxReservations)
	orElse(&s.ReservationTTL, time.Duration(r.ReservationTTL))
	orElse(&s.IdleBudget, r.IdleBudget)
	orElse(&s.LargeRuns, r.LargeRuns)
	if r.MaxJobDelay != nil {
		s.MaxJobDelay = time.Duration(*r.MaxJobDelay)
	}
	return &s
}
