package workflowsim

import "testing"

// TestSimulatedFaultsBreakNoInvariant checks that all invariants hold whatever goes wrong.
func TestSimulatedFaultsBreakNoInvariant(t *testing.T) {
	steps, sends, unknown := 0, 0, 0
	for seed := range seedCount {
		r := Run(seed, NoFault)
		for _, v := range r.Violations {
			t.Errorf("seed %d: %s", seed, v)
		}
		steps, sends, unknown = steps+r.Steps, sends+r.Sends, unknown+r.Unknown
	}
	if steps == 0 || sends == 0 || unknown*4 > steps {
		t.Errorf("%d steps, %d sends, %d unknown", steps, sends, unknown)
	}
}

// TestSameSeedSameRun checks that a run follows from its seed alone.
func TestSameSeedSameRun(t *testing.T) {
	if a, b := Run(5, NoFault), Run(5, NoFault); a.Steps != b.Steps || a.Sends != b.Sends || a.Unknown != b.Unknown || a.ExpiredClaims != b.ExpiredClaims {
		t.Errorf("%+v and %+v", a, b)
	}
}
