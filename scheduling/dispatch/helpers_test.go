package dispatch

import (
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// action is one recorded call of Actions.
type action struct {
	kind    string // name of the call in lower case; for Log, with the line appended
	id      RequestID
	worker  WorkerID
	attempt int
	tag     uint64
	in      time.Duration // timeout of a send, retry delay of a rejection, delay of a wake
}

// recorder implements Actions and records all calls.
type recorder struct{ actions []action }

func (r *recorder) Send(id RequestID, w WorkerID, timeout time.Duration) {
	r.actions = append(r.actions, action{kind: "send", id: id, worker: w, in: timeout})
}

func (r *recorder) Reject(id RequestID, retryAfter time.Duration) {
	r.actions = append(r.actions, action{kind: "reject", id: id, in: retryAfter})
}

func (r *recorder) Fail(id RequestID) { r.actions = append(r.actions, action{kind: "fail", id: id}) }

func (r *recorder) Cancel(id RequestID, n int) {
	r.actions = append(r.actions, action{kind: "cancel", id: id, attempt: n})
}

func (r *recorder) Wake(in time.Duration, tag uint64) {
	r.actions = append(r.actions, action{kind: "wake", in: in, tag: tag})
}

func (r *recorder) Subscribe() { r.actions = append(r.actions, action{kind: "subscribe"}) }

func (r *recorder) Probe(w WorkerID) { r.actions = append(r.actions, action{kind: "probe", worker: w}) }

func (r *recorder) Broadcast(msg []byte) { r.actions = append(r.actions, action{kind: "broadcast"}) }

func (r *recorder) Log(line string) { r.actions = append(r.actions, action{kind: "log " + line}) }

// take returns the recorded actions, without wakes, broadcasts and logs, and clears the record.
func (r *recorder) take() []action {
	var got []action
	for _, a := range r.actions {
		if a.kind != "wake" && a.kind != "broadcast" && !strings.HasPrefix(a.kind, "log") {
			got = append(got, a)
		}
	}
	r.actions = nil
	return got
}

func testSettings() Settings {
	return Settings{
		MinEventGap: 5 * ms,
		Fleet:       FleetSettings{Index: 0, Count: 1},
		Workers:     WorkerSettings{StartNotifications: true, ProgressInterval: time.Second, DrainGrace: 250 * ms},
		List:        ListSettings{RefreshInterval: 10 * time.Second},
		Attempts:    AttemptSettings{Max: 4, Hedging: true, Cancellation: true, AnswerSlack: 20 * ms},
		SlowStart:   SlowStartSettings{Share: 0.3, Time: 10 * time.Second, CrashLoadFactor: 3, CrashLoadTime: time.Second},
		Classes: []Class{
			{Name: "safe", LatencyTarget: 200 * ms, Stretch: 2, Deadline: 5 * time.Second, Value: 1, LateValueShare: 0.2, WorkerKind: -1},
			{Name: "keyed", LatencyTarget: 200 * ms, Stretch: 2, Deadline: 5 * time.Second, Value: 2, LateValueShare: 0.2,
				Semantics: Deduplicated, DedupScope: ScopeCell, DedupWindow: 3 * time.Second, WorkerKind: -1},
			{Name: "unsafe", LatencyTarget: 200 * ms, Stretch: 2, Deadline: 5 * time.Second, Value: 5, LateValueShare: 0.2,
				Semantics: AtMostOnce, WorkerKind: -1},
		},
	}
}

func mustNew(t *testing.T, s Settings, seed uint64) Dispatcher {
	t.Helper()
	d, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// sends returns the recorded sends and clears the record.
func (r *recorder) sends() (out []action) {
	for _, a := range r.take() {
		if a.kind == "send" {
			out = append(out, a)
		}
	}
	return out
}
