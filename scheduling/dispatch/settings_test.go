package dispatch

import (
	"testing"
)

func TestNewRejectsInvalidSettings(t *testing.T) {
	for name, invalidate := range map[string]func(*Settings){
		"no classes":              func(s *Settings) { s.Classes = nil },
		"index too high":          func(s *Settings) { s.Fleet.Index = 1 },
		"no attempts":             func(s *Settings) { s.Attempts.Max = 0 },
		"class without deadline":  func(s *Settings) { s.Classes[0].Deadline = 0 },
		"negative drain grace":    func(s *Settings) { s.Workers.DrainGrace = -1 },
		"slow-start share over 1": func(s *Settings) { s.SlowStart.Share = 1.5 },
	} {
		s := testSettings()
		invalidate(&s)
		if _, err := New(s, 1); err == nil {
			t.Errorf("%s: New returned no error", name)
		}
	}
}
