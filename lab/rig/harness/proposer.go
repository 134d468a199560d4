package harness

// This file owns the scenario of a proposer that is killed.

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"yardflow/internal/fleet/statemachine"
)

// Whoever proposes is killed after each thing that it says: a change ends without it, and another
// can be made.
func proposerKilled(t T, r *Rig) {
	stop := r.Load()
	defer stop()
	slow := r.Dispatchers[1]
	file := filepath.Join(r.Dir, "policy.toml")
	for n, step := range []string{"attempts: ", "proposed; ", "closing; "} {
		awaitAnswer(t, r, slow, true)
		slow.Stop() // so that each step lasts
		check(t, os.WriteFile(file, fmt.Appendf(nil, "attempts = %d\n", 2+n), 0o600))
		if !proposeUntil(t, r, file, step) && n == 1 {
			// What the first one had sent when it was killed may have come in force just now, so that this one's base is old.
			proposeUntil(t, r, file, step)
		}
		slow.Go()
		var s *statemachine.State
		check(t, Until("no change is under way", func() bool {
			now, _, err := r.State()
			s = now
			return err == nil && (s.Change == nil || s.Change.Stage >= statemachine.InForce)
		}))
		// Judged by the state that showed it: what was on its way when its sender was killed may come at any later moment.
		if s.Change != nil && s.Change.ID == step && s.Change.Stage != statemachine.InForce {
			t.Errorf("killed after %q: %v, %s", step, s.Change.Stage, s.Change.Reason)
		} else if step != "attempts: " && (s.Change == nil || s.Change.ID != step) {
			t.Errorf("killed after %q: it is not the last change", step)
		}
	}
	checkNoOverlap(t, r)
}

// proposeUntil has the staff's command propose a policy, and kills it once it has said so far; false: it ended before.
func proposeUntil(t T, r *Rig, file, step string) (reached bool) {
	t.Helper()
	cmd := r.staff("--within", "30s", "policy", "propose", file, "--id", step, "--without-silent")
	out, err := cmd.StdoutPipe()
	check(t, err)
	check(t, cmd.Start())
	said := bufio.NewScanner(out)
	for !reached && said.Scan() {
		reached = strings.HasPrefix(said.Text(), step)
	}
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
	return reached
}
