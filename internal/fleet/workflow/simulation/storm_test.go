package simulation

import "testing"

// No storm breaks a promise.
func TestStorms(t *testing.T) {
	steps, runs, unknown := 0, 0, 0
	for seed := range plays {
		r := Play(seed, None)
		for _, w := range r.Wrong {
			t.Errorf("seed %d: %s", seed, w)
		}
		steps, runs, unknown = steps+r.Steps, runs+r.Runs, unknown+r.Unknown
	}
	if steps == 0 || runs == 0 || unknown*4 > steps {
		t.Errorf("%d steps, %d runs, %d unknown", steps, runs, unknown)
	}
}

// A play goes by its seed alone.
func TestSameSeedSamePlay(t *testing.T) {
	if a, b := Play(5, None), Play(5, None); a.Steps != b.Steps || a.Runs != b.Runs || a.Unknown != b.Unknown || a.Expired != b.Expired {
		t.Errorf("%+v and %+v", a, b)
	}
}
