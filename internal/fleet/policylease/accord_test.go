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
		if a.Admission(0).Allowed {
			t.Errorf("%v: admits before it has heard anything", fence)
		}
		h := a.NextRequest(time.Second)
		if h.ServingVersion != 0 || h.Seq != 1 {
			t.Errorf("%v: asks %+v", fence, h)
		}
		a.HandleResult(time.Second, statemachine.Result{LeaseDuration: lease})
		end := time.Second + time.Duration(float64(lease)*(1-2*MaxClockDrift))
		if got := a.Admission(end - 1); !got.Allowed || got.Unconfirmed {
			t.Errorf("%v: just before its end: %+v", fence, got)
		}
		if got := a.Admission(end); got.Allowed != (fence == statemachine.KeepLastPolicy) || !got.Unconfirmed {
			t.Errorf("%v: at its end: %+v", fence, got)
		}
		if h := a.NextRequest(end - 1); h.ServingVersion == 0 {
			t.Errorf("%v: says that it admits nothing, and does", fence)
		}
		a.HandleResult(end, statemachine.Result{StopAdmitting: true})
		if got := a.Admission(end); got.Allowed != (fence == statemachine.KeepLastPolicy) {
			t.Errorf("%v: told to stop: %+v", fence, got)
		}
		a.Release()
		if a.Admission(end).Allowed {
			t.Errorf("%v: admits after it has left", fence)
		}
	}
}

// An answer that is late, an error, or a policy to be taken in gives no right to admit.
func TestAnswersThatGiveNothing(t *testing.T) {
	a := New("n0", 1, "", statemachine.RefuseWork)
	a.NextRequest(0)
	a.HandleResult(0, statemachine.Result{LeaseDuration: time.Second})
	if a.Admission(2 * time.Second).Allowed {
		t.Error("a lease whose answer came after its end is used")
	}
	if todo := a.HandleResult(2*time.Second, statemachine.Result{Err: statemachine.ErrStaleMessage.Error(), LeaseDuration: time.Hour}); !todo.RequestAgain || a.Admission(2*time.Second).Allowed {
		t.Error("an error gives a lease")
	}
	p := statemachine.Policy{Version: 2, Text: []byte("x")}
	if todo := a.HandleResult(2*time.Second, statemachine.Result{Policy: &p, LeaseDuration: time.Hour}); todo.ApplyPolicy == nil || a.Admission(2*time.Second).Allowed {
		t.Error("a policy that is not applied yet is served under")
	}
	a.PolicyApplied(p)
	if got := a.Admission(2 * time.Second); got.Allowed || got.Version != 2 {
		t.Errorf("without a lease under it: %+v", got)
	}
}
