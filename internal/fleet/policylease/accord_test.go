package policylease

import (
	"testing"
	"time"

	"yardflow/internal/fleet/statemachine"
)

// A lease holds from before it was asked for, less twice the drift, and is looked at when work
// is admitted: whoever was stopped for longer finds it over.
func TestLease(t *testing.T) {
	const lease = 3 * time.Second
	for _, fence := range []statemachine.LeaseLossMode{statemachine.RefuseWork, statemachine.KeepLastPolicy} {
		a := New("n0", 1, "", fence)
		if a.Admits(0).Admits {
			t.Errorf("%v: admits before it has heard anything", fence)
		}
		h := a.Ask(time.Second)
		if h.ServingVersion != 0 || h.Seq != 1 {
			t.Errorf("%v: asks %+v", fence, h)
		}
		a.Heard(time.Second, statemachine.Result{LeaseDuration: lease})
		end := time.Second + time.Duration(float64(lease)*(1-2*Drift))
		if got := a.Admits(end - 1); !got.Admits || got.Marked {
			t.Errorf("%v: just before its end: %+v", fence, got)
		}
		if got := a.Admits(end); got.Admits != (fence == statemachine.KeepLastPolicy) || !got.Marked {
			t.Errorf("%v: at its end: %+v", fence, got)
		}
		if h := a.Ask(end - 1); h.ServingVersion == 0 {
			t.Errorf("%v: says that it admits nothing, and does", fence)
		}
		a.Heard(end, statemachine.Result{StopAdmitting: true})
		if got := a.Admits(end); got.Admits != (fence == statemachine.KeepLastPolicy) {
			t.Errorf("%v: told to stop: %+v", fence, got)
		}
		a.Leave()
		if a.Admits(end).Admits {
			t.Errorf("%v: admits after it has left", fence)
		}
	}
}

// An answer that is late, an error, or a policy to be taken in gives no right to admit.
func TestAnswersThatGiveNothing(t *testing.T) {
	a := New("n0", 1, "", statemachine.RefuseWork)
	a.Ask(0)
	a.Heard(0, statemachine.Result{LeaseDuration: time.Second})
	if a.Admits(2 * time.Second).Admits {
		t.Error("a lease whose answer came after its end is used")
	}
	if todo := a.Heard(2*time.Second, statemachine.Result{Err: statemachine.ErrStaleMessage.Error(), LeaseDuration: time.Hour}); !todo.Again || a.Admits(2*time.Second).Admits {
		t.Error("an error gives a lease")
	}
	p := statemachine.Policy{Version: 2, Text: []byte("x")}
	if todo := a.Heard(2*time.Second, statemachine.Result{Policy: &p, LeaseDuration: time.Hour}); todo.Take == nil || a.Admits(2*time.Second).Admits {
		t.Error("a policy that is not applied yet is served under")
	}
	a.Took(p)
	if got := a.Admits(2 * time.Second); got.Admits || got.Version != 2 {
		t.Errorf("without a lease under it: %+v", got)
	}
}
