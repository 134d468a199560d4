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

// attachedDispatcher returns a dispatcher with an open session and one worker. The test takes the part of its event loop.
func attachedDispatcher() *Dispatcher {
	d := New(&settings.Settings{Node: "front-1", Seeds: []string{"core-1:1"}}, unreachableNetwork{}, zerolog.Nop())
	d.uplink.attached, d.uplink.session = true, 7
	d.setWorker(0, &statemachine.Worker{Instance: statemachine.Instance{ID: "w1", Service: "s", Capacity: job.Resources{CPU: 4000}}})
	return d
}

func provisionalJob() job.Job {
	return job.Job{ID: provisionalID, Service: "s", Owner: 7, Stretch: 1.5, TargetLatencyMs: 250,
		Request: job.Request{Steps: []job.Step{{Count: 2, CPU: 1000, EstimateMs: 500}}}}
}

// submitProvisional does what a client's Submit does, and then schedules.
func submitProvisional(d *Dispatcher) (submitted uint64) {
	submitted = d.uplink.submit(&statemachine.Command{SubmitJob: &statemachine.SubmitJob{Job: provisionalJob()}}, func(statemachine.Result) {
		d.dropProvisionalJob(provisionalID)
	})
	d.addProvisionalJob(0, provisionalJob())
	d.enqueueReady(0)
	d.schedule(0)
	return submitted
}

// pendingCommands lists the commands without an outcome, in the order in which they are sent.
func pendingCommands(d *Dispatcher) string {
	var list []string
	for _, tag := range d.uplink.commands.order {
		switch waiting := d.uplink.commands.pending[tag]; {
		case waiting == nil:
		case waiting.command.SubmitJob != nil:
			list = append(list, "submit")
		case waiting.command.PlaceTasks != nil:
			list = append(list, "place")
		}
	}
	return strings.Join(list, " ")
}

func completeCommand(d *Dispatcher, tag uint64, code statemachine.Code) {
	waiting := d.uplink.commands.pending[tag]
	delete(d.uplink.commands.pending, tag)
	waiting.done(statemachine.Result{Code: code})
}

func TestFirstPlacementsFollowTheSubmitAtOnce(t *testing.T) {
	d := attachedDispatcher()
	submitted := submitProvisional(d)
	if got := pendingCommands(d); got != "submit place place" {
		t.Fatalf("sent: %s", got)
	}
	// One message brings both: the job as it is after its placements, and then the outcomes.
	committed := provisionalJob()
	committed.State, committed.Sequence = job.Running, 3
	committed.Tasks = map[job.TaskKey]*job.Task{{Index: 0}: {Worker: "w1", Run: 1}, {Index: 1}: {Worker: "w1", Run: 1}}
	d.setJob(time.Millisecond, &committed)
	completeCommand(d, submitted, statemachine.OK)
	completeCommand(d, submitted+1, statemachine.OK)
	completeCommand(d, submitted+2, statemachine.OK)
	d.enqueueReady(time.Millisecond)
	d.schedule(time.Millisecond)
	owned := d.jobs[provisionalID]
	if owned == nil || owned.provisional || owned.State != job.Running || len(owned.runs) != 2 {
		t.Errorf("the job: %+v", owned)
	}
	if got := pendingCommands(d); got != "" {
		t.Errorf("sent again: %s", got)
	}
}

// TestRejectedFirstPlacementIsScheduledAgain: a placement that found no capacity is scheduled again, once the job is owned.
func TestRejectedFirstPlacementIsScheduledAgain(t *testing.T) {
	d := attachedDispatcher()
	submitted := submitProvisional(d)
	committed := provisionalJob()
	committed.Tasks = map[job.TaskKey]*job.Task{{Index: 0}: {Worker: "w1", Run: 1}}
	d.setJob(time.Millisecond, &committed)
	completeCommand(d, submitted, statemachine.OK)
	completeCommand(d, submitted+1, statemachine.OK)
	completeCommand(d, submitted+2, statemachine.NoCapacity)
	d.enqueueReady(time.Millisecond)
	d.schedule(time.Millisecond)
	if got := pendingCommands(d); got != "place" {
		t.Errorf("sent: %s", got)
	}
}

// TestProvisionalJobThatIsNotConfirmedIsDropped: nothing is left of a job that was rejected, that is another dispatcher's,
// or for which nobody waits any more.
func TestProvisionalJobThatIsNotConfirmedIsDropped(t *testing.T) {
	for name, end := range map[string]func(d *Dispatcher, submitted uint64){
		"rejected":              func(d *Dispatcher, submitted uint64) { completeCommand(d, submitted, statemachine.Invalid) },
		"another dispatcher's":  func(d *Dispatcher, submitted uint64) { completeCommand(d, submitted, statemachine.OK) },
		"not in a new snapshot": func(d *Dispatcher, _ uint64) { d.endSnapshot(d.beginSnapshot()) },
	} {
		t.Run(name, func(t *testing.T) {
			d := attachedDispatcher()
			submitted := submitProvisional(d)
			end(d, submitted)
			if d.jobs[provisionalID] != nil {
				t.Fatal("the job is still there")
			}
			d.setWorker(0, &statemachine.Worker{Instance: statemachine.Instance{ID: "w1", Service: "s", Capacity: job.Resources{CPU: 4000}}})
			for tag := submitted + 1; tag <= submitted+2; tag++ {
				if d.uplink.commands.pending[tag] != nil {
					completeCommand(d, tag, statemachine.Conflict)
				}
			}
			d.enqueueReady(0)
			d.schedule(0)
			if got := strings.ReplaceAll(pendingCommands(d), "submit", ""); strings.TrimSpace(got) != "" {
				t.Errorf("sent: %s", got)
			}
		})
	}
}

// TestProvisionalJobWithEarlierRunsIsTakenOver: a job that others have worked on replaces what is known here, though its
// Submit came in here as well.
func TestProvisionalJobWithEarlierRunsIsTakenOver(t *testing.T) {
	d := attachedDispatcher()
	submitProvisional(d)
	committed := provisionalJob()
	committed.State, committed.DoneTasks = job.Running, map[job.StepKey]int{{}: 1}
	committed.Tasks = map[job.TaskKey]*job.Task{{Index: 0}: {Run: 2, Done: true}, {Index: 1}: {Worker: "w1", Run: 3}}
	d.setJob(0, &committed)
	owned := d.jobs[provisionalID]
	if owned.provisional || owned.DoneTasks[job.StepKey{}] != 1 || len(owned.runs) != 1 {
		t.Errorf("the job: %+v", owned)
	}
}

// TestStateOfAProvisionalJobIsNotServed: the control machines may not know the job.
func TestStateOfAProvisionalJobIsNotServed(t *testing.T) {
	d := runDisconnected(t, true)
	done := make(chan struct{})
	d.post(func() {
		d.uplink.attached = true
		d.addProvisionalJob(0, provisionalJob())
		close(done)
	})
	<-done
	answer := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodGet, "http://h.example/q/"+provisionalID, nil)
	request.Header.Set(deadlineHeader, "200")
	d.ServeHTTP(answer, request)
	if answer.Code != http.StatusServiceUnavailable {
		t.Errorf("answered %d %s", answer.Code, answer.Body)
	}
}
