// Prove-flows measures what workflows promise: storms of faults by seed with and without planted ones,
// what three real coordinators agree on in a second, how long steps wait and flows take against a plan that
// knows all, what clients' work loses beside flows, and real processes under faults. Each figure stands
// beside its aim; exit code 1 where one is missed.
package main

import (
	"flag"
	"fmt"
	"runtime"
	"sync"
	"time"

	"yardflow/internal/testing/workflowsim"
	"yardflow/lab/rig/prove"
)

var (
	storms = flag.Int("storms", 2000, "storms of faults in virtual time")
	seed   = flag.Uint64("seed", 1, "of what real processes go through")
)

func main() {
	flag.Parse()
	t := prove.New()
	proveSize(t)
	proveCoordinators(t)
	t.Scenarios(*seed, "flow-beside") // figures of real processes: alone on the machine
	var wg sync.WaitGroup
	wg.Go(func() { t.Scenarios(*seed, "flow-killed", "flow-storm", "flow-restore", "flow-pools", "flow-poison") })
	proveStorms(t)
	provePlans(t)
	wg.Wait()
	t.End()
}

// proveStorms plays storms, and looks for planted faults.
func proveStorms(t *prove.Table) {
	var mu sync.Mutex
	var wrong []string
	var sum workflowsim.Result
	found := map[workflowsim.PlantedFault]uint64{}
	jobs := make(chan func())
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for f := range jobs {
				f()
			}
		})
	}
	began := time.Now()
	for s := range uint64(*storms) {
		jobs <- func() {
			r := workflowsim.Run(s, workflowsim.NoFault)
			mu.Lock()
			defer mu.Unlock()
			wrong = append(wrong, r.Violations...)
			sum.Workflows, sum.Steps, sum.Sends, sum.Unknown, sum.Repeated = sum.Workflows+r.Workflows, sum.Steps+r.Steps, sum.Sends+r.Sends, sum.Unknown+r.Unknown, sum.Repeated+r.Repeated
		}
	}
	for _, f := range workflowsim.AllFaults {
		jobs <- func() {
			for s := range uint64(600) {
				if len(workflowsim.Run(s, f).Violations) > 0 {
					mu.Lock()
					found[f] = s
					mu.Unlock()
					return
				}
			}
		}
	}
	close(jobs)
	wg.Wait()
	t.Row("storms played", fmt.Sprintf("%d, %d flows, %d steps, %.0f s", *storms, sum.Workflows, sum.Steps, time.Since(began).Seconds()), "2000 or more", *storms >= 2000)
	t.Row("storms: promises broken (once-only twice, two at once, out of cell or window, lost)", fmt.Sprintf("%d %.200v", len(wrong), wrong), "0", len(wrong) == 0)
	t.Row("storms: tries, of them again; steps unknown", fmt.Sprintf("%d, %d; %d", sum.Sends, sum.Repeated, sum.Unknown), "", true)
	t.Row("planted faults found", fmt.Sprintf("%d of %d", len(found), len(workflowsim.AllFaults)), "all", len(found) == len(workflowsim.AllFaults))
}
