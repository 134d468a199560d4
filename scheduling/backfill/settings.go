package backfill

import (
	"errors"
	"fmt"
	"time"
)

// Mode determines how many jobs may have a reservation at once.
type Mode string

// The values of Mode; see the package documentation.
const (
	Easy         Mode = "easy"
	Conservative Mode = "conservative"
)

// Settings holds the bounds of a plan.
type Settings struct {
	Mode            Mode
	Quantile        float64       // quantile of run times used for predictions, 0.5 to 0.99
	MaxReservations int           // largest number at once, at least 1; mode Easy always allows one
	ReservationTTL  time.Duration // longest life of a reservation, above 0
	IdleBudget      float64       // share of slot time that reservations may leave idle, above 0, up to 0.5
	MaxJobDelay     time.Duration // longest time for which reservations may keep one job waiting, at least 0
	LargeRuns       float64       // mean run times from which a one-slot job is large, above 1; 0: never
}

// DefaultSettings returns the settings that apply unless operators configure others.
func DefaultSettings() Settings {
	return Settings{
		Mode: Conservative, Quantile: 0.8, MaxReservations: 8, ReservationTTL: 4 * time.Second,
		IdleBudget: 0.05, MaxJobDelay: 400 * time.Millisecond,
	}
}

// Validate returns an error if a setting is out of range. The error begins with the setting's key in the
// operators' file.
func (s *Settings) Validate() error {
	switch {
	case s.Mode != Easy && s.Mode != Conservative:
		return fmt.Errorf("mode: %q is neither %q nor %q", s.Mode, Easy, Conservative)
	case s.Quantile < 0.5 || s.Quantile > 0.99:
		return fmt.Errorf("quantile: %v is not in 0.5 to 0.99", s.Quantile)
	case s.MaxReservations < 1:
		return fmt.Errorf("most: %d is under 1", s.MaxReservations)
	case s.ReservationTTL <= 0:
		return errors.New("longest: must be over 0")
	case s.IdleBudget <= 0 || s.IdleBudget > 0.5:
		return fmt.Errorf("budget: %v is not over 0 and up to 0.5", s.IdleBudget)
	case s.MaxJobDelay < 0:
		return errors.New("small_wait: must not be negative")
	case s.LargeRuns != 0 && s.LargeRuns <= 1:
		return fmt.Errorf("large: %v is neither 0 nor over 1", s.LargeRuns)
	}
	return nil
}

// IsLarge reports whether slots may be reserved for a job, by its number of slots and its expected run time
// in mean run times (runs).
func (s *Settings) IsLarge(slots, runs float64) bool {
	return slots > 1 || s.LargeRuns > 0 && runs >= s.LargeRuns
}
