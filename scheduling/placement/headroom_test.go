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
	for _, c := range []struct {
		name    string
		usedCPU int64 // of 8,000 at each worker, all of which are used a little
		step    job.Step
		wait    time.Duration // from the queueing
		placed  bool
	}{
		{"at once it makes way for urgent work", 2000, job.Step{Count: 1, CPU: 100, EstimateMs: 1000}, 100 * time.Millisecond, false},
		{"after two seconds it takes what is free beyond a half", 2000, job.Step{Count: 1, CPU: 100, EstimateMs: 1000}, 2100 * time.Millisecond, true},
		{"after two seconds it makes way where over a half is in use", 5000, job.Step{Count: 1, CPU: 100, EstimateMs: 1000}, 2100 * time.Millisecond, false},
		{"a task without end takes any room after two seconds", 6700, job.Step{Count: 1, CPU: 100, LongRunning: true}, 2100 * time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestScheduler(9)
			for i := range 200 {
				urgent := newUnit(0, job.Step{Count: 1, CPU: 100, EstimateMs: 100})
				s.urgent.recordWork(urgent)
				s.urgent.recordWait(time.Duration(i)*time.Millisecond+time.Second, urgent) // each waited for a second
			}
			for _, worker := range s.workerList {
				s.SetUsed(worker.id, job.Resources{CPU: c.usedCPU, MemoryMB: c.usedCPU})
			}
			unit := newUnit(2, c.step)
			unit.EnqueuedAt, unit.Deadline = burstEndsAt, burstEndsAt+40*time.Second
			s.Enqueue(unit)
			if decisions := s.Schedule(burstEndsAt + c.wait); (len(decisions) == 1) != c.placed {
				t.Errorf("decided %v, want it placed: %v", decisions, c.placed)
			}
		})
	}
}
