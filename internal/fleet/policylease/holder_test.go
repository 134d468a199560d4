package policylease

import (
	"testing"
	"time"

	"yardflow/internal/fleet/statemachine"
)

// A lease counts from before its request was sent, is shorter by twice the bound on drift, and is looked at when work is
// admitted: a process that was stopped for longer finds it expired.
func TestLeaseCountsFromBeforeItsRequestLessDrift(t *testing.T) {
	const lease = 3 * time.Second
	for _, fence := range []statemachine.LeaseLossMode{statemachine.RefuseWork, statemachine.KeepLastPolicy} {
		holder := New("n0", 1, "", fence)
		if holder.Admission(0).Allowed {
			t.Errorf("%v: admits work before any answer", fence)
		}
		request := holder.NextRequest(time.Second)
		if request.ServingVersion != 0 || request.Seq != 1 {
			t.Errorf("%v: requests %+v", fence, request)
		}
		holder.HandleResult(time.Second, statemachine.Result{LeaseDuration: lease})
		end := time.Second + time.Duration(float64(lease)*(1-2*MaxClockDrift))
		if got := holder.Admission(end - 1); !got.Allowed || got.Unconfirmed {
			t.Errorf("%v: just before it expires: %+v", fence, got)
		}
		if got := holder.Admission(end); got.Allowed != (fence == statemachine.KeepLastPolicy) || !got.Unconfirmed {
			t.Errorf("%v: when it expires: %+v", fence, got)
		}
		if request := holder.NextRequest(end - 1); request.ServingVersion == 0 {
			t.Errorf("%v: says that it admits nothing, and admits work", fence)
		}
		holder.HandleResult(end, statemachine.Result{StopAdmitting: true})
		if got := holder.Admission(end); got.Allowed != (fence == statemachine.KeepLastPolicy) {
			t.Errorf("%v: after it was notified to stop: %+v", fence, got)
		}
		holder.Release()
		if holder.Admission(end).Allowed {
			t.Errorf("%v: admits work after its release", fence)
		}
	}
}

// An answer that is late or an error, and one with a policy that is to be applied first, give no right to admit work.
func TestLateErroneousAndPolicyAnswersGiveNoLease(t *testing.T) {
	holder := New("n0", 1, "", statemachine.RefuseWork)
	holder.NextRequest(0)
	holder.HandleResult(0, statemachine.Result{LeaseDuration: time.Second})
	if holder.Admission(2 * time.Second).Allowed {
		t.Error("a lease whose answer came after its expiry is used")
	}
	if actions := holder.HandleResult(2*time.Second, statemachine.Result{Err: statemachine.ErrStaleMessage.Error(), LeaseDuration: time.Hour}); !actions.RequestAgain || holder.Admission(2*time.Second).Allowed {
		t.Error("an error gives a lease")
	}
	p := statemachine.Policy{Version: 2, Text: []byte("x")}
	if actions := holder.HandleResult(2*time.Second, statemachine.Result{Policy: &p, LeaseDuration: time.Hour}); actions.ApplyPolicy == nil || holder.Admission(2*time.Second).Allowed {
		t.Error("work is admitted under a policy that is not applied yet")
	}
	holder.PolicyApplied(p)
	if got := holder.Admission(2 * time.Second); got.Allowed || got.Version != 2 {
		t.Errorf("without a lease under it: %+v", got)
	}
}
