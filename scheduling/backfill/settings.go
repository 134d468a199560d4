package backfill

import (
	"errors"
	"fmt"
	"time"
)

// Mode says how many jobs may have a reservation at once.
type Mode string

// The modes.
const (
	Easy         Mode = "easy"
	Conservative Mode = "conservative"
)

// Settings bound a plan.
type Settings struct {
	Mode            Mode
	Quantile        float64       // of run times that a backfill is judged by, 0.5 to 0.99
	MaxReservations int           // at once, 1 or more; under Easy one, whatever this says
	ReservationTTL  time.Duration // longest life of a reservation, over 0
	IdleBudget      float64       // part of all slot time that reservations may leave idle, over 0 to 0.5
	MaxJobDelay     time.Duration // how long reservations may keep one job waiting, 0 or more
	LargeRuns       float64       // from so many typical runs on a job of one slot is large, over 1; 0: never
}

// DefaultSettings is what a plan is bounded by where nothing else is said.
func DefaultSettings() Settings {
	return Settings{
		Mode: Conservative, Quantile: 0.8, MaxReservations: 8, ReservationTTL: 4 * time.Second,
		IdleBudget: 0.05, MaxJobDelay: 400 * time.Millisecond,
	}
}

// Validate reports settings that no plan can be made by. The error begins with the key of the
// operators' file that is wrong.
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

// IsLarge tells whether slots may be reserved for a job of so many slots and so many typical runs.
func (s *Settings) IsLarge(slots, runs float64) bool {
	return slots > 1 || s.LargeRuns > 0 && runs >= s.LargeRuns
}
