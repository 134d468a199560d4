package placement

import (
	"testing"
	"time"

	"yardflow/scheduling/job"
)

// wideJob returns a job of many tasks that are placed or done, and units of one more step that is kept apart.
func wideJob(repetitions, steps, tasks, apart int) (*job.Job, []*Unit) {
	request := job.Request{}
	for range steps {
		request.Steps = append(request.Steps, job.Step{Count: tasks, CPU: 1000, EstimateMs: 500, AntiAffinity: apart})
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

// TestWideJobIsPlacedWithinItsShareOfACore guards against LOST: with a bound on tasks of a step at one worker, each unit
// walked all tasks of its job once for each worker. A dispatcher with 0.192 of a core stood still for seconds, and the
// workers that it owns were given nothing meanwhile.
func TestWideJobIsPlacedWithinItsShareOfACore(t *testing.T) {
	const (
		workers = 792
		share   = 0.192           // of a core, which a dispatcher of the large deployments has
		rest    = 3 * time.Second // for which no job may have nothing at work
	)
	s := newTestScheduler(workers)
	_, units := wideJob(6, 6, 66, 1)
	for _, unit := range units {
		s.Enqueue(unit)
	}
	began := time.Now()
	decisions := s.Schedule(time.Second)
	took := time.Since(began)
	if len(decisions) != len(units) {
		t.Errorf("%d of %d units are placed", len(decisions), len(units))
	}
	t.Logf("%d units in %v", len(units), took)
	if most := time.Duration(share * float64(rest)); took > most {
		t.Errorf("placing %d units takes %v of a core, %v is what a dispatcher has in %v", len(units), took, most, rest)
	}
}

// TestTasksKeptApartAreCountedByStepAndRepetition: other steps, other repetitions and tasks that are placed nowhere do not
// count at a worker.
func TestTasksKeptApartAreCountedByStepAndRepetition(t *testing.T) {
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
			t.Errorf("%s: %d tasks in the count for all workers, %d alone", id, placed[id], got)
		}
	}
}
