package outlier

import (
	"fmt"
	"time"
)

// Settings are how outliers are detected and reinstated.
type Settings struct {
	MinReporters      int           `cbor:"Witnesses" json:"Witnesses"` // distinct dispatchers that must have seen it fail
	MinFailures       int           `cbor:"Failures" json:"Failures"`   // jobs that must have failed there, at all of them together, none having succeeded since at any of those
	HalfLife          time.Duration // of evidence
	ObjectionWindow   time.Duration `cbor:"Hearing" json:"Hearing"` // from the first report against it, for reporters that know better
	MaxEjectedShare   float64       `cbor:"Most" json:"Most"`       // of the workers that may be ejected at once
	TrialInterval     time.Duration `cbor:"Pace" json:"Pace"`       // between two trials of one worker by the whole fleet; doubles while they fail
	TrialsToReinstate int           `cbor:"Pass" json:"Pass"`       // passed in a row
}

// DefaultSettings are the settings where operators say nothing else.
func DefaultSettings() Settings {
	return Settings{MinReporters: 2, MinFailures: 3, HalfLife: 10 * time.Second, ObjectionWindow: 1500 * time.Millisecond, MaxEjectedShare: 0.3, TrialInterval: time.Second, TrialsToReinstate: 2}
}

// SettingsError says which key has a value that it can't have.
type SettingsError struct{ Key, Got, Want string }

func (e *SettingsError) Error() string { return e.Key + ": " + e.Got + "; expected " + e.Want }

// Validate returns a SettingsError for the first key that has a value it can't have.
func (s *Settings) Validate() error {
	invalid := func(key string, got any, want string) error { return &SettingsError{key, fmt.Sprint(got), want} }
	switch {
	case s.MinReporters < 2 || s.MinReporters > 100:
		return invalid("witnesses", s.MinReporters, "2 to 100, since one alone may be wrong")
	case s.MinFailures < s.MinReporters || s.MinFailures > 1000:
		return invalid("failures", s.MinFailures, fmt.Sprintf("%d, one at each witness, to 1000", s.MinReporters))
	case s.HalfLife < 100*time.Millisecond || s.HalfLife > time.Hour:
		return invalid("half_life", s.HalfLife, "100ms to 1h")
	case s.ObjectionWindow < 0 || s.ObjectionWindow > s.HalfLife:
		return invalid("hearing", s.ObjectionWindow, fmt.Sprintf("0s to the half-life, %v", s.HalfLife))
	case !(s.MaxEjectedShare > 0 && s.MaxEjectedShare <= 0.5): // NaN is in no range
		return invalid("most", s.MaxEjectedShare, "over 0 and up to 0.5 of the workers")
	case s.TrialInterval < 50*time.Millisecond || s.TrialInterval > time.Hour:
		return invalid("pace", s.TrialInterval, "50ms to 1h")
	case s.TrialsToReinstate < 1 || s.TrialsToReinstate > 100:
		return invalid("pass", s.TrialsToReinstate, "1 to 100")
	}
	return nil
}

// failuresToEject is the weight of failures from which on a worker is ejected: half a job less than MinFailures, since
// some of it has faded a little.
func (s *Settings) failuresToEject() int64 { return (2*int64(s.MinFailures) - 1) * OneJob / 2 }

// maxFailuresOfOne is the most that one reporter's failures weigh: what it takes to eject, less a job and a tenth, so
// that at least one more report is needed.
func (s *Settings) maxFailuresOfOne() int64 {
	return (2*int64(s.MinFailures)-3)*OneJob/2 - OneJob/10
}
