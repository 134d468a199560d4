package dispatcher

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"yardflow/internal/control/statemachine"
	"yardflow/internal/platform/settings"
	"yardflow/scheduling/job"
)

const provisionalID = "0123456789abcdef"

// attachedDispatcher returns a dispatcher with an open session and one worker. Its event loop does not run; the test calls
// the functions that belong to the event loop.
func attachedDispatcher() *Dispatcher {
	d := New(&settings.Settings{Node: "front-1", Seeds: []string{"core-1:1"}}, unreachableNetwork{}, zerolog.Nop())
	d.uplink.attached, d.uplink.session = true, 7
	d.setWorker(0, &statemachine.Worker{Instance: statemachine.Instance{ID: "w1", Service: "s",
		Capacity: job.Resources{CPU: 4000}}})
	return d
}

func provisionalJob() job.Job {
	return job.Job{ID: provisionalID, Service: "s", Owner: 7, Stretch: 1.5, TargetLatencyMs: 250,
		Request: job.Request{Steps: []job.Step{{Count: 2, CPU: 1000, EstimateMs: 500}}}}
}

// submitProvisional submits the provisional job as a client's call does, and then runs a scheduling cycle. It returns the
// tag of the SubmitJob command.
func submitProvisional(d *Dispatcher) (submitTag uint64) {
	submitTag = d.uplink.submit(&statemachine.Command{SubmitJob: &statemachine.SubmitJob{Job: provisionalJob()}},
		func(statemachine.Result) {
			d.dropProvisionalJob(provisionalID)
		})
	d.addProvisionalJob(0, provisionalJob())
	d.enqueueReady(0)
	d.schedule(0)
	return submitTag
}

// pendingCommands lists the kinds of the commands without an outcome, in the order in which they are sent.
func pendingCommands(d *Dispatcher) string {
	var list []string
	for _, tag := range d.uplink.commands.order {
		switch pending := d.uplink.commands.pending[tag]; {
		case pending == nil:
		case pending.command.SubmitJob != nil:
			list = append(list, "submit")
		case pending.command.PlaceTasks != nil:
			list = append(list, "place")
		}
	}
	return strings.Join(list, " ")
}

// completeCommand delivers the outcome of a pending command.
func completeCommand(d *Dispatcher, tag uint64, code statemachine.Code) {
	pending := d.uplink.commands.pending[tag]
	delete(d.uplink.commands.pending, tag)
	pending.done(statemachine.Result{Code: code})
}

func TestFirstPlacementsAreSentWithTheSubmit(t *testing.T) {
	d := attachedDispatcher()
	submitTag := submitProvisional(d)
	if got := pendingCommands(d); got != "submit place place" {
		t.Fatalf("commands %q are pending, want the submit and both placements", got)
	}
	// One message delivers the job in its state after the placements, and then the outcomes.
	committed := provisionalJob()
	committed.State, committed.Sequence = job.Running, 3
	committed.Tasks = map[job.TaskKey]*job.Task{{Index: 0}: {Worker: "w1", Run: 1}, {Index: 1}: {Worker: "w1", Run: 1}}
	d.setJob(time.Millisecond, &committed)
	completeCommand(d, submitTag, statemachine.OK)
	completeCommand(d, submitTag+1, statemachine.OK)
	completeCommand(d, submitTag+2, statemachine.OK)
	d.enqueueReady(time.Millisecond)
	d.schedule(time.Millisecond)
	owned := d.jobs[provisionalID]
	if owned == nil || owned.provisional || owned.State != job.Running || len(owned.runs) != 2 {
		t.Errorf("the job is %+v, want it confirmed and running with 2 runs", owned)
	}
	if got := pendingCommands(d); got != "" {
		t.Errorf("commands %q are pending after all outcomes", got)
	}
}

// TestRejectedFirstPlacementIsScheduledAgain: a placement that is rejected for lack of capacity is scheduled again after the
// job has been confirmed.
func TestRejectedFirstPlacementIsScheduledAgain(t *testing.T) {
	d := attachedDispatcher()
	submitTag := submitProvisional(d)
	committed := provisionalJob()
	committed.Tasks = map[job.TaskKey]*job.Task{{Index: 0}: {Worker: "w1", Run: 1}}
	d.setJob(time.Millisecond, &committed)
	completeCommand(d, submitTag, statemachine.OK)
	completeCommand(d, submitTag+1, statemachine.OK)
	completeCommand(d, submitTag+2, statemachine.NoCapacity)
	d.enqueueReady(time.Millisecond)
	d.schedule(time.Millisecond)
	if got := pendingCommands(d); got != "place" {
		t.Errorf("commands %q are pending, want a new placement", got)
	}
}

// TestProvisionalJobThatIsNotConfirmedIsDropped: a provisional job is removed, and its tasks are not placed again, if its
// submit was rejected, if another dispatcher owns it, or if a new snapshot does not have it.
func TestProvisionalJobThatIsNotConfirmedIsDropped(t *testing.T) {
	for name, end := range map[string]func(d *Dispatcher, submitTag uint64){
		"rejected":                    func(d *Dispatcher, tag uint64) { completeCommand(d, tag, statemachine.Invalid) },
		"owned by another dispatcher": func(d *Dispatcher, tag uint64) { completeCommand(d, tag, statemachine.OK) },
		"not in a new snapshot":       func(d *Dispatcher, _ uint64) { d.endSnapshot(d.beginSnapshot()) },
	} {
		t.Run(name, func(t *testing.T) {
			d := attachedDispatcher()
			submitTag := submitProvisional(d)
			end(d, submitTag)
			if d.jobs[provisionalID] != nil {
				t.Fatal("the job was not dropped")
			}
			d.setWorker(0, &statemachine.Worker{Instance: statemachine.Instance{ID: "w1", Service: "s",
				Capacity: job.Resources{CPU: 4000}}})
			for tag := submitTag + 1; tag <= submitTag+2; tag++ {
				if d.uplink.commands.pending[tag] != nil {
					completeCommand(d, tag, statemachine.Conflict)
				}
			}
			d.enqueueReady(0)
			d.schedule(0)
			if got := strings.ReplaceAll(pendingCommands(d), "submit", ""); strings.TrimSpace(got) != "" {
				t.Errorf("commands %q are pending, want no placement", got)
			}
		})
	}
}

// TestCommittedJobWithEarlierRunsReplacesProvisionalJob: if other dispatchers have run tasks of a job before, its committed
// state replaces the provisional job that a submit to this dispatcher has created.
func TestCommittedJobWithEarlierRunsReplacesProvisionalJob(t *testing.T) {
	d := attachedDispatcher()
	submitProvisional(d)
	committed := provisionalJob()
	committed.State, committed.DoneTasks = job.Running, map[job.StepKey]int{{}: 1}
	committed.Tasks = map[job.TaskKey]*job.Task{{Index: 0}: {Run: 2, Done: true}, {Index: 1}: {Worker: "w1", Run: 3}}
	d.setJob(0, &committed)
	owned := d.jobs[provisionalID]
	if owned.provisional || owned.DoneTasks[job.StepKey{}] != 1 || len(owned.runs) != 1 {
		t.Errorf("the job is %+v, want it confirmed with 1 task done and 1 run", owned)
	}
}

// TestStateOfAProvisionalJobIsNotServed: the dispatcher must not answer with the state of a provisional job, because the
// control machines may not know the job.
func TestStateOfAProvisionalJobIsNotServed(t *testing.T) {
	d := runDisconnected(t, true)
	done := make(chan struct{})
	d.post(func() {
		d.uplink.attached = true
		d.addProvisionalJob(0, provisionalJob())
		close(done)
	})
	<-done
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodGet, "http://h.example/q/"+provisionalID, nil)
	request.Header.Set(deadlineHeader, "200")
	d.ServeHTTP(recorder, request)
	if recorder.Code != http.StatusServiceUnavailable {
		t.Errorf("got status %d with body %s, want 503", recorder.Code, recorder.Body)
	}
}
