package placement

import (
	"testing"
	"time"

	"yardflow/scheduling/job"
)

// TestWorkDoesNotRestForHeadroomWhileHalfOfTheServiceIsFree guards against LOST: after a burst of urgent tasks that had to
// wait, the headroom for such tasks stayed at up to 0.8 of the service, and a job of a lower priority rested for half of the
// time to its deadline though three quarters of the service were free.
func TestWorkDoesNotRestForHeadroomWhileHalfOfTheServiceIsFree(t *testing.T) {
	const burstEndsAt = 30 * time.Second
	const early, late = 100 * time.Millisecond, 2100 * time.Millisecond // from the queueing
	small, large := job.Step{Count: 1, CPU: 100, EstimateMs: 1000}, job.Step{Count: 1, CPU: 4000, EstimateMs: 1000}
	far := job.Step{Count: 1, CPU: 100, EstimateMs: 9000, Affinity: "r0"}
	endless := job.Step{Count: 1, CPU: 100, LongRunning: true, Affinity: "r99"}
	for _, c := range []struct {
		name     string
		workers  int
		usedCPU  int64 // of 8,000 at each worker, all of which are used a little
		step     job.Step
		wait     time.Duration
		working  bool // another task of its job is placed
		rackFull bool // its own rack has no room
		placed   bool
	}{
		{name: "at once it makes way for urgent work", workers: 9, usedCPU: 2000, step: small, wait: early},
		{name: "after two seconds it takes what is free", workers: 9, usedCPU: 2000, step: small, wait: late, placed: true},
		{name: "a large task does not count itself as use", workers: 4, usedCPU: 3200, step: large, wait: late, placed: true},
		{name: "after two seconds it makes way where over a half is in use", workers: 9, usedCPU: 5000, step: small, wait: late},
		{name: "a job at work makes way", workers: 9, usedCPU: 2000, step: small, wait: late, working: true},
		{name: "it goes far from its data", workers: 9, usedCPU: 1000, step: far, wait: late, rackFull: true, placed: true},
		{name: "a task without end takes any room, also away from its data", workers: 9, usedCPU: 6700, step: endless, wait: late, placed: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestScheduler(c.workers)
			for i := range 200 {
				urgent := newUnit(0, job.Step{Count: 1, CPU: 100, EstimateMs: 100})
				s.urgent.recordWork(urgent)
				s.urgent.recordWait(time.Duration(i)*time.Millisecond+time.Second, urgent) // each waited for a second
			}
			for _, worker := range s.workerList {
				s.SetUsed(worker.id, job.Resources{CPU: c.usedCPU, MemoryMB: c.usedCPU})
			}
			if c.rackFull {
				useUp(s, "w0000")
				useUp(s, "w0001")
				useUp(s, "w0002")
			}
			unit := newUnit(2, c.step)
			if c.working {
				unit.Job.EnsureTask(job.TaskKey{Step: 1}).Worker = "w0000"
			}
			unit.EnqueuedAt, unit.Deadline = burstEndsAt, burstEndsAt+40*time.Second
			s.Enqueue(unit)
			if decisions := s.Schedule(burstEndsAt + c.wait); (len(decisions) == 1) != c.placed {
				t.Errorf("decided %v, want it placed: %v", decisions, c.placed)
			}
		})
	}
}
