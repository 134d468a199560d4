package harness

// This file owns the scenario of pools, of which one drains, and of templates that change.

import (
	"fmt"
	"strings"
	"time"

	"yardflow/internal/fleet/statemachine"
)

// pools is a policy with two pools of workers, by their kinds.
const pools = `
[[pool]]
name = "lenders"
kinds = ["dual-fast"]
[[pool]]
name = "packers"
kinds = ["triple-slow"]
`

// workflowsOverPools sends steps to their pool alone. All of one pool drains meanwhile: its steps wait, nothing is lost. A
// template is changed while workflows run, each of which ends by its own; what can't be run is refused, by the command or by
// a dispatcher.
func workflowsOverPools(t T, r *Rig) {
	text := pools + strings.Replace(strings.Replace(fmt.Sprintf(course, 40), `class = "issue-loan"`, "class = \"issue-loan\"\npool = \"lenders\"", 1), "name = \"package\"", "name = \"package\"\npool = \"packers\"", 1)
	inForce(t, r, "one", text, 0)
	r.Runs(20 * time.Millisecond)
	titles := r.size(150, 60)
	check(t, r.Submit("a", "course", titles))
	awaitSent(t, r, "a/package", 10)
	var packers []string
	for i, w := range r.Workers {
		if i%2 == 1 {
			packers = append(packers, w.ID)
		}
	}
	check(t, r.Drain(true, packers...))
	awaitSent(t, r, "a/loan", 40)
	time.Sleep(time.Second)
	had := len(r.Sent("a/package"))
	changed := strings.Replace(text, `name = "collect"`, "name = \"gather\"", 1)
	inForce(t, r, "two", changed, 1)
	check(t, r.Submit("b", "course", 10))
	time.Sleep(time.Second)
	if now := len(r.Sent("a/package")); now > had {
		t.Errorf("%d packages were sent while no packer serves", now-had)
	}
	if refusal, err := r.Refused("poolless", fmt.Sprintf(course, 41), 2); err != nil || !strings.Contains(refusal, "flow-pool-needed") {
		t.Errorf("a policy without a pool that flows need: %v, refused with %q", err, refusal)
	}
	check(t, r.Drain(false, packers...))
	checkBothTemplatesEnd(t, r, titles)
	checkStepsKeptToPools(t, r)
	check(t, r.Propose("class", strings.Replace(changed, `"issue-loan"`, `"issue-loans"`, 1), 2, false))
	if c, err := r.Change("class", statemachine.Withdrawn); err != nil || !strings.Contains(c.Reason, `step "loan": class: issue-loans; expected one of the settings'`) {
		t.Error(err, c)
	}
	check(t, r.Propose("kind", strings.Replace(changed, `"triple-slow"`, `"triple-fast"`, 1), 2, false))
	if c, err := r.Change("kind", statemachine.Withdrawn); err != nil || !strings.Contains(c.Reason, `pool "packers": kinds: "triple-fast"; expected one of the settings'`) {
		t.Error(err, c)
	}
}

// checkBothTemplatesEnd requires that workflow a ends by the template before the change, and b by the changed one.
func checkBothTemplatesEnd(t T, r *Rig, titles int) {
	t.Helper()
	for _, key := range []string{"a", "b"} {
		v, err := r.Ends(key, "done")
		check(t, err)
		checkSentSoundly(t, r, key)
		want := map[string]int{"a": 2*titles + 1, "b": 21}[key]
		if last := map[string]string{"a": "collect", "b": "gather"}[key]; v.EndCounts[0]+v.EndCounts[2] < want-4 || len(r.Sent(key+"/"+last)) != 1 {
			t.Errorf("%s: %v of %d; %d of %s were sent", key, v.EndCounts, want, len(r.Sent(key+"/"+last)), last)
		}
	}
}

// checkStepsKeptToPools requires that no worker was sent a step of the other pool.
func checkStepsKeptToPools(t T, r *Rig) {
	t.Helper()
	for i, w := range r.Workers {
		for _, a := range w.Arrivals() {
			if strings.Contains(a.ID, "/loan[") && i%2 == 1 || strings.Contains(a.ID, "/package[") && i%2 == 0 {
				t.Fatalf("%s was sent to %s", a.ID, w.ID)
			}
		}
	}
}
