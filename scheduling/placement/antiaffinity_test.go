package placement

import (
	"syscall"
	"testing"
	"time"

	"yardflow/scheduling/job"
)

// wideJob returns a job whose earlier steps are done in all repetitions, and the units of its last step. All steps have an
// anti-affinity limit.
func wideJob(repetitions, steps, tasks, antiAffinity int) (*job.Job, []*Unit) {
	request := job.Request{}
	for range steps {
		request.Steps = append(request.Steps, job.Step{Count: tasks, CPU: 1000, EstimateMs: 500, AntiAffinity: antiAffinity})
	}
	j := &job.Job{ID: "00000000000000aa", Priority: 1, Request: request}
	for repetition := range repetitions {
		for step := range steps - 1 {
			for index := range tasks {
				j.EnsureTask(job.TaskKey{Repetition: repetition, Step: step, Index: index}).Done = true
			}
		}
	}
	var units []*Unit
	for index := range tasks {
		units = append(units, &Unit{Job: j, StepKey: job.StepKey{Step: steps - 1}, TaskIndices: []int{index}})
	}
	return j, units
}

// TestWideJobIsPlacedWithinCPUBudget guards against a violation of the emulator's rule LOST: if a step had an
// anti-affinity limit, each of its units iterated over all tasks of the job once per worker. A dispatcher with 0.192 of a
// core was blocked for seconds, and the workers that it owns got no tasks meanwhile.
func TestWideJobIsPlacedWithinCPUBudget(t *testing.T) {
	const (
		workers  = 792
		cpuShare = 0.192           // fraction of a core that a dispatcher has in the large deployments
		maxIdle  = 3 * time.Second // for which a job may be without a running task
	)
	s := newTestScheduler(workers)
	_, units := wideJob(6, 6, 66, 1)
	for _, unit := range units {
		s.Enqueue(unit)
	}
	began, usedBefore := time.Now(), processorTime(t)
	decisions := s.Schedule(time.Second)
	took, used := time.Since(began), processorTime(t)-usedBefore
	if len(decisions) != len(units) {
		t.Errorf("placed %d of %d units", len(decisions), len(units))
	}
	t.Logf("scheduling %d units took %v of processor time, %v in all", len(units), used, took)
	if budget := time.Duration(cpuShare * float64(maxIdle)); used > budget {
		t.Errorf("scheduling %d units took %v of processor time, want at most %v, the CPU budget in %v", len(units), used, budget, maxIdle)
	}
}

// processorTime returns the processor time that this process has used, garbage collection included. Other processes that
// keep it from running do not count.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	usage := syscall.Rusage{}
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestAntiAffinityCountsTasksOfSameStepAndRepetition checks that tasks of other steps, tasks of other repetitions and
// unplaced tasks do not count towards a worker's anti-affinity limit.
func TestAntiAffinityCountsTasksOfSameStepAndRepetition(t *testing.T) {
	s := newTestScheduler(3)
	j, units := wideJob(2, 2, 3, 2)
	place := func(repetition, step, index int, worker string) {
		j.EnsureTask(job.TaskKey{Repetition: repetition, Step: step, Index: index}).Worker = worker
	}
	place(0, 1, 1, "w0000")
	place(0, 1, 2, "w0000")
	place(0, 0, 0, "w0001")
	place(0, 0, 1, "w0001")
	place(1, 1, 0, "w0002")
	place(1, 1, 1, "w0002")
	placed := placedPerWorker(units[0])
	for id, want := range map[string]bool{"w0000": false, "w0001": true, "w0002": true} {
		if got := s.feasible(time.Second, units[0], s.workers[id], 0, placed); got != want {
			t.Errorf("%s: feasible is %v, want %v", id, got, want)
		}
		if got := j.CountPlacedAt(units[0].StepKey, id); got != placed[id] {
			t.Errorf("%s: PlacedPerWorker counts %d tasks, CountPlacedAt counts %d", id, placed[id], got)
		}
	}
}
