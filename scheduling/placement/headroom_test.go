package placement

import (
	"testing"
	"time"

	"yardflow/scheduling/job"
)

// TestHeadroomStarvesNoJobWhileHalfOfTheServiceIsFree guards against a violation of the emulator's rule LOST: after a
// burst of urgent tasks that had to wait, the headroom for urgent tasks stayed at up to 0.8 of the service. A job of a
// lower priority then waited for half of the time until its deadline, although three quarters of the service were free.
func TestHeadroomStarvesNoJobWhileHalfOfTheServiceIsFree(t *testing.T) {
	const burstEndsAt = 30 * time.Second
	const early, late = 100 * time.Millisecond, 2100 * time.Millisecond // time in the queue
	small, large := job.Step{Count: 1, CPU: 100, EstimateMs: 1000}, job.Step{Count: 1, CPU: 4000, EstimateMs: 1000}
	remote := job.Step{Count: 1, CPU: 100, EstimateMs: 9000, Affinity: "r0"}
	longRunning := job.Step{Count: 1, CPU: 100, LongRunning: true, Affinity: "r99"}
	for _, c := range []struct {
		name       string
		workers    int
		usedCPU    int64 // per worker, of 8,000; more than 0, since the headroom does not apply to idle workers
		step       job.Step
		wait       time.Duration
		jobHasTask bool // another task of the job is placed
		rackFull   bool // the rack of its data is full
		wantPlaced bool
	}{
		{name: "leaves the headroom free at first", workers: 9, usedCPU: 2000, step: small, wait: early},
		{name: "uses the headroom after 2 s", workers: 9, usedCPU: 2000, step: small, wait: late, wantPlaced: true},
		{name: "own demand does not count as used", workers: 4, usedCPU: 3200, step: large, wait: late, wantPlaced: true},
		{name: "leaves the headroom free after 2 s with over half used", workers: 9, usedCPU: 5000, step: small, wait: late},
		{name: "leaves the headroom free after 2 s if its job has a task", workers: 9, usedCPU: 2000, step: small,
			wait: late, jobHasTask: true},
		{name: "leaves the rack of its data after 2 s if that is full", workers: 9, usedCPU: 1000, step: remote, wait: late,
			rackFull: true, wantPlaced: true},
		{name: "long-running task uses remote headroom after 2 s", workers: 9, usedCPU: 6700, step: longRunning, wait: late,
			wantPlaced: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestScheduler(c.workers)
			for i := range 200 {
				urgent := newUnit(0, job.Step{Count: 1, CPU: 100, EstimateMs: 100})
				s.urgent.recordWork(urgent)
				s.urgent.recordWait(time.Duration(i)*time.Millisecond+time.Second, urgent) // each one waited for about 1 s
			}
			for _, worker := range s.workerList {
				s.SetUsed(worker.id, job.Resources{CPU: c.usedCPU, MemoryMB: c.usedCPU})
			}
			if c.rackFull {
				fillWorker(s, "w0000")
				fillWorker(s, "w0001")
				fillWorker(s, "w0002")
			}
			unit := newUnit(2, c.step)
			if c.jobHasTask {
				unit.Job.EnsureTask(job.TaskKey{Step: 1}).Worker = "w0000"
			}
			unit.EnqueuedAt, unit.Deadline = burstEndsAt, burstEndsAt+40*time.Second
			s.Enqueue(unit)
			if decisions := s.Schedule(burstEndsAt + c.wait); (len(decisions) == 1) != c.wantPlaced {
				t.Errorf("decisions %v, want unit placed: %v", decisions, c.wantPlaced)
			}
		})
	}
}
