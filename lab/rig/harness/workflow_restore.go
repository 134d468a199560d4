package harness

// This file owns the scenario of coordinators that are lost and restored while workflows run.

import (
	"fmt"
	"strings"
	"time"

	"yardflow/internal/workflow/claims"
)

// workflowsAfterRestore loses a majority of the coordinators for good while steps are in flight, and restores one from a folder
// that is older than what was done: what may have run is unknown, and none of it is sent again.
func workflowsAfterRestore(t T, r *Rig) {
	inForce(t, r, "one", strings.ReplaceAll(fmt.Sprintf(course, 20), `on_unknown = "pass"`, `on_unknown = "hold"`), 0)
	r.Runs(30 * time.Millisecond)
	check(t, r.Submit("old", "course", 60))
	awaitSent(t, r, "old/loan", 15)
	left := r.Coordinators[2]
	left.Kill() // its folder is old from here on
	awaitSent(t, r, "old/loan", 35)
	before := r.Coordinators
	for _, k := range before {
		k.Kill()
	}
	sent := len(r.Sent("old/loan"))
	next, err := r.newCoordinator("k9", 9, nil)
	check(t, err)
	staff(t, r, 0, "restore", "--config", r.Dir+"/k9.toml", "--from", r.Dir+"/"+left.Name, "--accept-loss")
	replaceCoordinators(t, r, next)
	v, err := r.Ends("old", "held")
	check(t, err)
	t.Logf("%d loans were sent before; %+v", sent, v)
	if !v.RunUncertain {
		t.Error("it is not in doubt")
	}
	time.Sleep(2 * lease)
	countSentOnce(t, r, "old", "loan")
	if n := len(r.Sent("old/loan")); n > sent+4 {
		t.Errorf("%d loans were sent, %d before the keepers were lost: what is in doubt is not sent", n, sent)
	}
	// An operator who knows that one has not run has it sent; who cancels ends it.
	if never := stuckAndNeverSent(t, r); never != nil {
		name := fmt.Sprintf("old/loan%v", never.Ref.Path)
		staff(t, r, 0, "flow", "settle", "old", fmt.Sprintf("loan[%d]", never.Ref.Path[0]), "again")
		resolveStuckSteps(t, r)
		check(t, Until(name+" is sent by the operator's word", func() bool { return r.Sent(name)[name] == 1 }))
	}
	staff(t, r, 0, "flow", "cancel", "old")
	_, err = r.Ends("old", "cancelled", "failed")
	check(t, err)
	check(t, r.Submit("new", "course", 5))
	_, err = r.Ends("new", "done")
	check(t, err)
	countSentOnce(t, r, "old", "loan")
	countSentOnce(t, r, "new", "loan")
}

// stuckAndNeverSent returns a loan of the workflow old that is stuck and was sent to no worker, nil where there is none.
func stuckAndNeverSent(t T, r *Rig) (never *claims.StepStatus) {
	v, err := r.View("old")
	check(t, err)
	sent := r.Sent("old/loan")
	for i, s := range v.Steps {
		if s.State == "stuck" && s.Name == "loan" && sent[fmt.Sprintf("old/loan%v", s.Ref.Path)] == 0 {
			never = &v.Steps[i]
		}
	}
	return never
}

// resolveStuckSteps resolves the stuck steps of the workflow old as failed until it is held no more.
func resolveStuckSteps(t T, r *Rig) {
	for {
		v, err := r.View("old")
		check(t, err)
		if v.State != "held" {
			return
		}
		stuck := false
		for _, s := range v.Steps {
			if s.State == "stuck" {
				stuck = true
				_, err := r.Flow(claims.Command{Resolve: &claims.Resolution{Workflow: "old", Step: s.Ref, Outcome: claims.OutcomeFailed, RequestedBy: "rig"}})
				check(t, err)
			}
		}
		if !stuck {
			t.Fatalf("held, and nothing is stuck: %+v", v)
		}
	}
}
