package emulator

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"yardflow/scheduling/job"
)

// Figures of the clients that cancel.
const (
	// lastTry is what is left of such a client's deadline when it hands its job in.
	lastTry = 300 * time.Millisecond
	// cancelTries is how often it cancels until it has an answer.
	cancelTries = 40
	// copySpan is for how long copies of its submission arrive afterwards.
	copySpan = 6 * time.Second
	copies   = 3
)

// clientCall is one call of a client for a job.
type clientCall struct {
	method, id, body string
	within           time.Duration // the client's deadline, of which the dispatcher is told
	at               int           // number of the dispatcher, from 1
}

// callDispatcher makes a client's call, and returns its status and answer; 0 means none.
func (y *Cluster) callDispatcher(c clientCall) (int, string) {
	url := "http://" + y.Address(fmt.Sprint("front-", c.at)) + route + c.id
	return y.callWithDeadline(c.method, url, c.body, c.within)
}

// CancellingClient hands in a job with the last part of its deadline, and cancels the job at another dispatcher, whatever it
// was answered. Copies of its submission, reads and further cancels arrive afterwards, in any order, at any dispatcher.
func (y *Cluster) CancellingClient(random *rand.Rand) {
	request := job.Request{Spec: fmt.Sprint("spec ", random.IntN(1000))}
	for step := range 4 { // so that a job that goes on starts tasks for long
		s := job.Step{Count: 1, CPU: 500, MemoryMB: 100, EstimateMs: 3000}
		if step > 0 {
			s.DependsOn = []int{step - 1}
		}
		request.Steps = append(request.Steps, s)
	}
	id := fmt.Sprintf("%016x", random.Uint64())
	y.Checker.Submitted(id, request)
	submit := clientCall{http.MethodPost, id, EncodeJob(request), lastTry, 1 + random.IntN(y.Shape.Dispatchers)}
	if random.IntN(3) == 0 {
		submit.within = 3 * time.Second
	}
	if status, _ := y.callDispatcher(submit); status == http.StatusOK {
		y.Checker.Accepted(id)
	}
	y.Checker.CancelSent(id)
	if !y.cancelUntilAnswered(random, id) {
		return
	}
	for range copies {
		time.Sleep(time.Duration(random.Int64N(int64(copySpan / copies))))
		again := clientCall{http.MethodPost, id, submit.body, time.Second, 1 + random.IntN(y.Shape.Dispatchers)}
		again.method = []string{http.MethodPost, http.MethodGet, http.MethodDelete}[random.IntN(3)]
		status, text := y.callDispatcher(again)
		if again.method == http.MethodGet && status == http.StatusOK {
			y.Checker.StateShown(id, strings.TrimSuffix(strings.TrimPrefix(text, `{"State":"`), `"}`))
		}
	}
}

// cancelUntilAnswered cancels a job at any dispatcher until it is answered 2xx or 410, and reports whether it was.
func (y *Cluster) cancelUntilAnswered(random *rand.Rand, id string) bool {
	for range cancelTries {
		cancel := clientCall{http.MethodDelete, id, "", time.Second, 1 + random.IntN(y.Shape.Dispatchers)}
		if status, _ := y.callDispatcher(cancel); status == http.StatusOK || status == http.StatusGone {
			y.Checker.CancelAcknowledged(id)
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}
