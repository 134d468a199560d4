package simulation

import "testing"

// No storm breaks a promise.
func TestStorms(t *testing.T) {
	steps, runs, unknown := 0, 0, 0
	for seed := range plays {
		r := Run(seed, NoFault)
		for _, w := range r.Violations {
			t.Errorf("seed %d: %s", seed, w)
		}
		steps, runs, unknown = steps+r.Steps, runs+r.Sends, unknown+r.Unknown
	}
	if steps == 0 || runs == 0 || unknown*4 > steps {
		t.Errorf("%d steps, %d runs, %d unknown", steps, runs, unknown)
	}
}

// A play goes by its seed alone.
func TestSameSeedSamePlay(t *testing.T) {
	if a, b := Run(5, NoFault), Run(5, NoFault); a.Steps != b.Steps || a.Sends != b.Sends || a.Unknown != b.Unknown || a.ExpiredClaims != b.ExpiredClaims {
		t.Errorf("%+v and %+v", a, b)
	}
}
