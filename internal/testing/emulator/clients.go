package emulator

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"yardflow/scheduling/job"
)

// deadlineHeader tells a dispatcher how many milliseconds a client waits for its answer.
const deadlineHeader = "Yardflow-Deadline-Remaining"

// call makes a call of an operator, whose change replaces the version match, or of a client, where match is empty.
func (y *Cluster) call(method, url, body string, within time.Duration, match string) (int, string) {
	header := http.Header{}
	if match != "" {
		header.Set("If-Match", match)
	}
	return y.send(method, url, body, within, header)
}

// callWithDeadline makes a call of a client that tells how long it waits.
func (y *Cluster) callWithDeadline(method, url, body string, within time.Duration) (int, string) {
	return y.send(method, url, body, within, http.Header{deadlineHeader: {fmt.Sprint(within.Milliseconds())}})
}

func (y *Cluster) send(method, url, body string, within time.Duration, header http.Header) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.GetBody = nil
	request.Header = header
	if header.Get("If-Match") == "" {
		request.Host = routeHost
	}
	response, err := y.client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(text)
}

// Client hands in one job and follows it to its end, at any dispatcher.
func (y *Cluster) Client(random *rand.Rand, until time.Time) {
	request := y.randomJob(random)
	y.follow(random, request, random.IntN(y.Shape.Dispatchers), until)
}

// follow hands a job in, first at the dispatcher in the place first, and follows it to its end, at any dispatcher.
func (y *Cluster) follow(random *rand.Rand, request job.Request, first int, until time.Time) {
	id := fmt.Sprintf("%016x", random.Uint64())
	y.Checker.Submitted(id, request)
	body := EncodeJob(request)
	at := func(dispatcher int) string {
		return "http://" + y.Address(fmt.Sprint("front-", 1+dispatcher)) + route + id
	}
	anywhere := func() string { return at(random.IntN(y.Shape.Dispatchers)) }
	accepted := false
	for try := range 5 {
		address := anywhere()
		if try == 0 {
			address = at(first)
		}
		status, _ := y.call(http.MethodPost, address, body, 3*time.Second, "")
		if accepted = status == http.StatusOK; accepted {
			y.Checker.Accepted(id)
			y.moments.come(jobAccepted)
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	for accepted && time.Now().Before(until) {
		status, text := y.call(http.MethodGet, anywhere(), "", 2*time.Second, "")
		switch status {
		case http.StatusOK:
			state := strings.TrimSuffix(strings.TrimPrefix(text, `{"State":"`), `"}`)
			y.Checker.StateShown(id, state)
			if state != "queued" && state != "running" {
				return
			}
		case http.StatusGone:
			y.Checker.Gone(id)
		}
		time.Sleep(400 * time.Millisecond)
	}
}

// Poison jobs can never be done: each run of a task that is not a gang's fails.
const (
	poisonSpec  = "poison"
	poisonOneIn = 10
)

func isPoison(request *job.Request) bool { return request.Spec == poisonSpec }

// RandomJob returns a job to hand in, and the body of the call that does so.
func (y *Cluster) RandomJob(random *rand.Rand) (job.Request, string) {
	request := y.randomJob(random)
	return request, EncodeJob(request)
}

// RouteHost and RoutePrefix name the cluster's only queue.
const (
	RouteHost   = routeHost
	RoutePrefix = route
)

func (y *Cluster) randomJob(random *rand.Rand) job.Request {
	request := job.Request{Spec: fmt.Sprint("spec ", random.IntN(1000))}
	if random.IntN(poisonOneIn) == 0 {
		request.Spec = poisonSpec
	}
	for step := range 1 + random.IntN(3) {
		s := job.Step{Count: 1 + random.IntN(4), CPU: int64(500 + random.IntN(2000)), MemoryMB: 100,
			EstimateMs: int64(200 + random.IntN(1500))}
		if random.IntN(5) == 0 {
			s.EstimateMs += int64(random.IntN(9000)) // longer than a hold that is not renewed
		}
		if step > 0 {
			s.DependsOn = []int{random.IntN(step)}
		}
		if random.IntN(5) == 0 {
			s.Gang = true
		}
		if random.IntN(5) == 0 {
			s.Affinity = "r1"
		}
		request.Steps = append(request.Steps, s)
	}
	return request
}
