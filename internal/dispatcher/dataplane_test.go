package dispatcher

import (
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"yardflow/internal/control/statemachine"
	"yardflow/internal/platform/settings"
	"yardflow/scheduling/job"
	"yardflow/scheduling/worker"
)

// deaf is a network on which nobody answers.
type deaf struct{}

func (deaf) Dial(string, time.Duration) (net.Conn, error) {
	return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
}

func (deaf) Listen(string) (net.Listener, error) { return nil, errors.New("nothing listens here") }

const config = `{"Version":3,"Routes":[{"Host":"h.example","PathPrefix":"/q/","Service":"s","TimeoutMs":3000}],
"Services":[{"Name":"s"}],"Limits":{"MaxBodyBytes":2000}}`

// lonely returns a dispatcher that runs without any control machine.
func lonely(t *testing.T, configured bool) *Dispatcher {
	t.Helper()
	d := New(&settings.Settings{Node: "front-1", Seeds: []string{"core-1:1"}}, deaf{}, zerolog.Nop())
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		d.Run(stop)
		close(ended)
	}()
	t.Cleanup(func() {
		close(stop)
		<-ended
	})
	if configured {
		done := make(chan struct{})
		d.do(func() {
			d.setConfig(&statemachine.ConfigUpdate{Version: 3, Body: []byte(config)})
			d.readConfig()
			close(done)
		})
		<-done
	}
	return d
}

func ask(d *Dispatcher, method, path, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, "http://h.example"+path, strings.NewReader(body))
	answer := httptest.NewRecorder()
	d.ServeHTTP(answer, request)
	return answer
}

const sound = `{"Spec":"x","Steps":[{"Count":1,"Cpu":1}]}`

func TestAnswersWithoutControlMachines(t *testing.T) {
	d := lonely(t, true)
	id := "/q/0123456789abcdef"
	cases := []struct {
		name, method, path, body string
		status                   int
		comeBack                 bool
	}{
		{"a job that was never sent", "POST", id, sound, http.StatusServiceUnavailable, true},
		{"a state", "GET", id, "", http.StatusServiceUnavailable, true},
		{"a cancel that was never sent", "DELETE", id, "", http.StatusServiceUnavailable, true},
		{"a count", "GET", "/q/", "", http.StatusServiceUnavailable, true},
		{"no such queue", "POST", "/other/0123456789abcdef", sound, http.StatusNotFound, false},
		{"no ID", "POST", "/q/xyz", sound, http.StatusNotFound, false},
		{"no job", "POST", id, `{"Steps":[]}`, http.StatusBadRequest, false},
		{"a step that depends on a later one", "POST", id, `{"Steps":[{"Count":1,"DependsOn":[1]},{"Count":1}]}`, http.StatusBadRequest, false},
		{"a body that is too large", "POST", id, `{"Spec":"` + strings.Repeat("x", 3000) + `"}`, http.StatusRequestEntityTooLarge, false},
		{"another method", "PATCH", id, "", http.StatusMethodNotAllowed, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			answer := ask(d, c.method, c.path, c.body)
			if answer.Code != c.status || (answer.Header().Get("Retry-After") != "") != c.comeBack {
				t.Errorf("answered %d, come back %q", answer.Code, answer.Header().Get("Retry-After"))
			}
		})
	}
}

func TestWithoutConfiguration(t *testing.T) {
	d := lonely(t, false)
	if answer := ask(d, "POST", "/q/0123456789abcdef", sound); answer.Code != http.StatusServiceUnavailable {
		t.Errorf("answered %d", answer.Code)
	}
	ready := httptest.NewRecorder()
	d.ServeReadiness(ready, nil)
	if ready.Code != http.StatusServiceUnavailable {
		t.Error("ready without a configuration")
	}
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	d := lonely(t, true)
	done := make(chan struct{})
	d.do(func() {
		d.setConfig(&statemachine.ConfigUpdate{Version: 2, Body: []byte(strings.Replace(config, `"Version":3`, `"Version":2`, 1))})
		d.readConfig()
		close(done)
	})
	<-done
	if version := d.config.Load().Version; version != 3 {
		t.Errorf("went back to version %d", version)
	}
}

func TestWhatWasNeverSentIsKnown(t *testing.T) {
	dial := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	if !neverSent(&url.Error{Op: "Post", Err: errors.Trace(dial)}) {
		t.Error("a failed dial counts as sent")
	}
	if neverSent(&url.Error{Op: "Post", Err: &net.OpError{Op: "read", Err: syscall.ECONNRESET}}) {
		t.Error("a reset while reading counts as never sent")
	}
}

func TestAnswersOfWorkers(t *testing.T) {
	cases := []struct {
		status int
		reason string
		want   worker.Outcome
	}{
		{200, "", worker.Accepted}, {409, "fence", worker.Fenced}, {409, "old", worker.OutdatedRun}, {409, "late", worker.ArrivedLate},
		{409, "room", worker.NoCapacity}, {421, "", worker.OtherIncarnation}, {429, "", worker.Unhealthy}, {503, "", worker.Unhealthy},
		{400, "", worker.Invalid}, {500, "", worker.Unanswered},
	}
	for _, c := range cases {
		if got := classify(c.status, c.reason); got != c.want {
			t.Errorf("%d %s: %d, want %d", c.status, c.reason, got, c.want)
		}
	}
}

// The objective is the stretch times the longest chain of steps, not the sum of all.
func TestObjectiveCountsFromTheLongestChain(t *testing.T) {
	owned := &ownedJob{since: time.Second, Job: &job.Job{Stretch: 2, TargetLatencyMs: 500,
		Request: job.Request{Repeat: 2, FirstRunMs: 10_000, IntervalMs: 3000, Steps: []job.Step{{Count: 3, EstimateMs: 1000},
			{Count: 1, EstimateMs: 250, DependsOn: []int{0}}, {Count: 9, EstimateMs: 600, DependsOn: []int{0}}, {Count: 1, EstimateMs: 700}}}}}
	waves := func(step *job.Step) int { return (step.Count + 7) / 8 }
	longest := chains(&owned.Request, waves)
	for i, want := range []time.Duration{2200, 250, 1200, 700} {
		if longest[i] != want*time.Millisecond {
			t.Errorf("step %d: the chain from it takes %v, want %d ms", i, longest[i], want)
		}
	}
	if begin := owned.begin(5*time.Second, 12_000, 1); begin != 6*time.Second {
		t.Errorf("the second time falls due at %v", begin)
	}
	if got := owned.objective(time.Second, longest); got != 5900*time.Millisecond {
		t.Errorf("objective %v", got)
	}
	owned.Request.Repeat = 0
	if begin := owned.begin(5*time.Second, 12_000, 0); begin != time.Second {
		t.Errorf("a job without times began at %v", begin)
	}
}

// A snapshot tells of a job that is over its state alone: it is answered, and nothing of it counts as running.
func TestSnapshotOfAJobThatIsOver(t *testing.T) {
	d := New(&settings.Settings{Node: "front-1", Seeds: []string{"core-1:1"}}, deaf{}, zerolog.Nop())
	step := job.Step{Count: 1, CPU: 1000}
	d.setWorker(0, &statemachine.Worker{Instance: statemachine.Instance{ID: "w1", Service: "s", Capacity: job.Resources{CPU: 4000}}})
	d.setJob(0, &job.Job{ID: "known", Service: "s", State: job.Running, Request: job.Request{Steps: []job.Step{step}},
		Tasks: map[job.TaskKey]*job.Task{{}: {Worker: "w1", Run: 1}}})
	if len(d.jobs["known"].running) != 1 {
		t.Fatal("the job's task does not count as running")
	}
	stale := d.markStale()
	for _, id := range []string{"known", "unknown"} {
		d.receiveUpdate(0, &statemachine.Update{JobState: &statemachine.JobStateUpdate{Job: id, State: job.Completed}}, stale)
	}
	d.dropStale(0, stale)
	if known := d.jobs["known"]; known == nil || known.State != job.Completed || len(known.running) != 0 {
		t.Errorf("the known job: %+v", known)
	}
	if state, kept := d.finals["unknown"]; !kept || state != job.Completed {
		t.Errorf("the unknown job: %v %v", state, kept)
	}
}
