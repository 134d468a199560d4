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

const expectedID = "0123456789abcdef"

// attachedDispatcher returns a dispatcher with an open session and one worker. The test is its engine.
func attachedDispatcher() *Dispatcher {
	d := New(&settings.Settings{Node: "front-1", Seeds: []string{"core-1:1"}}, deaf{}, zerolog.Nop())
	d.uplink.attached, d.uplink.session = true, 7
	d.setWorker(0, &statemachine.Worker{Instance: statemachine.Instance{ID: "w1", Service: "s", Capacity: job.Resources{CPU: 4000}}})
	return d
}

func expectedJob() job.Job {
	return job.Job{ID: expectedID, Service: "s", Owner: 7, Stretch: 1.5, TargetLatencyMs: 250,
		Request: job.Request{Steps: []job.Step{{Count: 2, CPU: 1000, EstimateMs: 500}}}}
}

// handIn does what a call that hands a job in does, and lets the event's decisions follow.
func handIn(d *Dispatcher) (submitted uint64) {
	submitted = d.uplink.submit(&statemachine.Command{SubmitJob: &statemachine.SubmitJob{Job: expectedJob()}}, func(statemachine.Result) {
		d.dropExpected(expectedID)
	})
	d.expectJob(0, expectedJob())
	d.enqueueReady(0)
	d.decide(0)
	return submitted
}

// commands lists what waits for an outcome, in the order in which it goes out.
func commands(d *Dispatcher) string {
	var list []string
	for _, tag := range d.uplink.order {
		switch waiting := d.uplink.pending[tag]; {
		case waiting == nil:
		case waiting.command.SubmitJob != nil:
			list = append(list, "submit")
		case waiting.command.PlaceTasks != nil:
			list = append(list, "place")
		}
	}
	return strings.Join(list, " ")
}

func outcomeOf(d *Dispatcher, tag uint64, code statemachine.Code) {
	waiting := d.uplink.pending[tag]
	delete(d.uplink.pending, tag)
	waiting.done(statemachine.Result{Code: code})
}

func TestFirstPlacementsFollowTheSubmit(t *testing.T) {
	d := attachedDispatcher()
	submitted := handIn(d)
	if got := commands(d); got != "submit place place" {
		t.Fatalf("sent: %s", got)
	}
	// Both are told in one message: the job as it is behind its placements, and then their outcomes.
	told := expectedJob()
	told.State, told.Sequence = job.Running, 3
	told.Tasks = map[job.TaskKey]*job.Task{{Index: 0}: {Worker: "w1", Run: 1}, {Index: 1}: {Worker: "w1", Run: 1}}
	d.setJob(time.Millisecond, &told)
	outcomeOf(d, submitted, statemachine.OK)
	outcomeOf(d, submitted+1, statemachine.OK)
	outcomeOf(d, submitted+2, statemachine.OK)
	d.enqueueReady(time.Millisecond)
	d.decide(time.Millisecond)
	known := d.jobs[expectedID]
	if known == nil || known.expected || known.State != job.Running || len(known.running) != 2 {
		t.Errorf("the job: %+v", known)
	}
	if got := commands(d); got != "" {
		t.Errorf("sent again: %s", got)
	}
}

// A placement that found no room is decided anew, once the job is known.
func TestRefusedFirstPlacementIsDecidedAnew(t *testing.T) {
	d := attachedDispatcher()
	submitted := handIn(d)
	told := expectedJob()
	told.Tasks = map[job.TaskKey]*job.Task{{Index: 0}: {Worker: "w1", Run: 1}}
	d.setJob(time.Millisecond, &told)
	outcomeOf(d, submitted, statemachine.OK)
	outcomeOf(d, submitted+1, statemachine.OK)
	outcomeOf(d, submitted+2, statemachine.NoCapacity)
	d.enqueueReady(time.Millisecond)
	d.decide(time.Millisecond)
	if got := commands(d); got != "place" {
		t.Errorf("sent: %s", got)
	}
}

// Nothing is left of a job that was refused, that is another dispatcher's, or for which nobody waits any more.
func TestExpectedJobThatIsNotTold(t *testing.T) {
	for name, end := range map[string]func(d *Dispatcher, submitted uint64){
		"refused":               func(d *Dispatcher, submitted uint64) { outcomeOf(d, submitted, statemachine.Invalid) },
		"another dispatcher's":  func(d *Dispatcher, submitted uint64) { outcomeOf(d, submitted, statemachine.OK) },
		"not in a new snapshot": func(d *Dispatcher, _ uint64) { d.dropStale(0, d.markStale()) },
	} {
		t.Run(name, func(t *testing.T) {
			d := attachedDispatcher()
			submitted := handIn(d)
			end(d, submitted)
			if d.jobs[expectedID] != nil {
				t.Fatal("the job is still there")
			}
			d.setWorker(0, &statemachine.Worker{Instance: statemachine.Instance{ID: "w1", Service: "s", Capacity: job.Resources{CPU: 4000}}})
			for tag := submitted + 1; tag <= submitted+2; tag++ {
				if d.uplink.pending[tag] != nil {
					outcomeOf(d, tag, statemachine.Conflict)
				}
			}
			d.enqueueReady(0)
			d.decide(0)
			if got := strings.ReplaceAll(commands(d), "submit", ""); strings.TrimSpace(got) != "" {
				t.Errorf("sent: %s", got)
			}
		})
	}
}

// A job on which others have worked is taken over as told, though its Submit came in here as well.
func TestExpectedJobThatIsOlder(t *testing.T) {
	d := attachedDispatcher()
	handIn(d)
	told := expectedJob()
	told.State, told.DoneTasks = job.Running, map[job.StepKey]int{{}: 1}
	told.Tasks = map[job.TaskKey]*job.Task{{Index: 0}: {Run: 2, Done: true}, {Index: 1}: {Worker: "w1", Run: 3}}
	d.setJob(0, &told)
	known := d.jobs[expectedID]
	if known.expected || known.DoneTasks[job.StepKey{}] != 1 || len(known.running) != 1 {
		t.Errorf("the job: %+v", known)
	}
}

// The state of an expected job is not told from here: the control machines may not know it.
func TestStateOfAnExpectedJob(t *testing.T) {
	d := lonely(t, true)
	done := make(chan struct{})
	d.do(func() {
		d.uplink.attached = true
		d.expectJob(0, expectedJob())
		close(done)
	})
	<-done
	answer := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodGet, "http://h.example/q/"+expectedID, nil)
	request.Header.Set(deadlineHeader, "200")
	d.ServeHTTP(answer, request)
	if answer.Code != http.StatusServiceUnavailable {
		t.Errorf("answered %d %s", answer.Code, answer.Body)
	}
}
