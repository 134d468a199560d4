package dispatch_test

import (
	"fmt"
	"time"

	"yardflow/scheduling/dispatch"
)

// host implements dispatch.Actions for a process that embeds a Dispatcher. It
// prints the actions instead of carrying them out.
type host struct{ sent []dispatch.WorkerID }

func (h *host) Send(id dispatch.RequestID, w dispatch.WorkerID, _ time.Duration) {
	h.sent = append(h.sent, w)
	fmt.Printf("send job %d, attempt %d\n", id, len(h.sent))
}
func (h *host) Reject(id dispatch.RequestID, _ time.Duration) { fmt.Println("reject job", id) }
func (h *host) Fail(id dispatch.RequestID)                    { fmt.Println("fail job", id) }
func (h *host) Cancel(dispatch.RequestID, int)                {}
func (h *host) Wake(time.Duration, uint64)                    {}
func (h *host) Subscribe()                                    { fmt.Println("subscribe to the list") }
func (h *host) Probe(dispatch.WorkerID)                       {}
func (h *host) Broadcast([]byte)                              {}
func (h *host) Log(line string)                               {}

// This example passes the events of one job to a Dispatcher, from its arrival
// through a rejection by the first worker to the answer of a second one.
func Example() {
	d, err := dispatch.New(dispatch.Settings{
		Fleet:    dispatch.FleetSettings{Count: 1},
		Workers:  dispatch.WorkerSettings{StartNotifications: true},
		List:     dispatch.ListSettings{MustSubscribe: true, RefreshInterval: 10 * time.Second},
		Attempts: dispatch.AttemptSettings{Max: 3},
		Classes: []dispatch.Class{{Name: "plan", LatencyTarget: 200 * time.Millisecond, Stretch: 2,
			Deadline: 5 * time.Second, Value: 1, WorkerKind: -1}},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	h := &host{}
	now := time.Duration(0)
	d.UpdateWorkers(now, dispatch.ListCached, []dispatch.Worker{{ID: 1, Weight: 1}, {ID: 2, Weight: 1}}, h)
	d.Arrive(now, dispatch.Request{ID: 7, TimeLeft: 5 * time.Second, Slots: 1}, h)

	// The worker rejects the job, which returns to the queue and goes to another worker.
	now += time.Millisecond
	d.AttemptEnded(now, dispatch.Outcome{ID: 7, Attempt: 0, Worker: h.sent[0], Code: dispatch.Rejected}, h)
	for len(h.sent) == 1 {
		now += 25 * time.Millisecond
		d.Timer(now, 0, h)
	}
	fmt.Println("another worker:", h.sent[0] != h.sent[1])
	d.AttemptEnded(now+150*time.Millisecond, dispatch.Outcome{ID: 7, Attempt: 1, Worker: h.sent[1],
		Code: dispatch.OK, Answered: true}, h)
	// Output:
	// subscribe to the list
	// send job 7, attempt 1
	// send job 7, attempt 2
	// another worker: true
}
