package dispatcher

import (
	"testing"

	"github.com/rs/zerolog"

	"yardflow/internal/control/statemachine"
	"yardflow/internal/platform/settings"
	"yardflow/scheduling/job"
)

// TestSnapshotEndsRunsOfTerminalJob: for a job that has ended, a snapshot has only the job's state. The dispatcher has to
// keep that state and must not count any task of the job as placed.
func TestSnapshotEndsRunsOfTerminalJob(t *testing.T) {
	d := New(&settings.Settings{Node: "front-1", Seeds: []string{"core-1:1"}}, unreachableNetwork{}, zerolog.Nop())
	step := job.Step{Count: 1, CPU: 1000}
	d.setWorker(0, &statemachine.Worker{Instance: statemachine.Instance{ID: "w1", Service: "s",
		Capacity: job.Resources{CPU: 4000}}})
	d.setJob(0, &job.Job{ID: "known", Service: "s", State: job.Running, Request: job.Request{Steps: []job.Step{step}},
		Tasks: map[job.TaskKey]*job.Task{{}: {Worker: "w1", Run: 1}}})
	if len(d.jobs["known"].runs) != 1 {
		t.Fatal("the job's task does not count as placed")
	}
	snapshot := d.beginSnapshot()
	for _, id := range []string{"known", "unknown"} {
		d.receiveUpdate(0, &statemachine.Update{
			JobState: &statemachine.JobStateUpdate{Job: id, State: job.Completed}}, snapshot)
	}
	d.endSnapshot(snapshot)
	if known := d.jobs["known"]; known == nil || known.State != job.Completed || len(known.runs) != 0 {
		t.Errorf("the known job is %+v, want it completed without runs", known)
	}
	if state, kept := d.terminal["unknown"]; !kept || state != job.Completed {
		t.Errorf("the unknown job has state %v, remembered: %v", state, kept)
	}
}
