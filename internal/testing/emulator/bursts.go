package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"yardflow/scheduling/job"
)

// Jobs of disruptions, beside the traffic.
const (
	shortJobs     = 40                     // in a burst
	burstSpan     = 16 * time.Millisecond  // after a burst was sent, in which a machine stalls
	briefStall    = 180 * time.Millisecond // of a control machine, longer than a short task and shorter than a lost heartbeat
	longRunMs     = 2000
	hopelessTasks = 12
	longJobs      = 6
	longSteps     = 3
)

// onlyLabel returns the label that the worker in the place alone has.
func onlyLabel(place int) string { return fmt.Sprint("only-", place+1) }

// halfLabel returns the label that every second worker has, from the place on.
func halfLabel(place int) string { return fmt.Sprint("half-", place%2) }

// shortJob returns a job of two short tasks that run one after the other, at the worker in the place.
func shortJob(random *rand.Rand, place int) job.Request {
	return job.Request{Spec: "short", Steps: []job.Step{{Count: 2, CPU: 300, MemoryMB: 100, AntiAffinity: 1,
		EstimateMs: int64(25 + random.IntN(40)), RequiredLabel: onlyLabel(place)}}}
}

// HopelessJob returns a job that can never be done, for workers with the label.
func HopelessJob(label string) job.Request {
	return job.Request{Spec: poisonSpec, Steps: []job.Step{{Count: hopelessTasks, CPU: 2500, MemoryMB: 100,
		EstimateMs: longRunMs, RequiredLabel: label}}}
}

// LongJob returns a job of several long steps, one after the other, for workers with the label.
func LongJob(label string) job.Request {
	request := job.Request{Spec: "long"}
	for step := range longSteps {
		s := job.Step{Count: 1, CPU: 2500, MemoryMB: 100, EstimateMs: longRunMs, RequiredLabel: label}
		if step > 0 {
			s.DependsOn = []int{step - 1}
		}
		request.Steps = append(request.Steps, s)
	}
	return request
}

// ShortBurst returns the requests of a burst of jobs with short tasks, at all workers.
func (y *Cluster) ShortBurst(random *rand.Rand) []job.Request {
	requests := make([]job.Request, shortJobs)
	for i := range requests {
		requests[i] = shortJob(random, random.IntN(y.Shape.Workers))
	}
	return requests
}

// HopelessBurst returns the requests of one hopeless job, or of several, and of long ones behind them that need the same
// workers.
func (y *Cluster) HopelessBurst(random *rand.Rand) []job.Request {
	label := halfLabel(random.IntN(2))
	var requests []job.Request
	for range 1 + random.IntN(2) {
		requests = append(requests, HopelessJob(label))
	}
	for range longJobs {
		requests = append(requests, LongJob(label))
	}
	return requests
}

// sendBurst hands jobs in through one dispatcher, in this order and at once, and lets clients follow them to their end. The
// clients belong to the cluster's bursts.
func (y *Cluster) sendBurst(random *rand.Rand, requests []job.Request, spread bool) {
	front := random.IntN(y.Shape.Dispatchers)
	for i, request := range requests {
		own := rand.New(rand.NewPCG(random.Uint64(), 21))
		first := front
		if spread {
			first = i % y.Shape.Dispatchers
		}
		y.bursts.Go(func() { y.follow(own, request, first, time.Now().Add(burstPatience)) })
	}
}

// burstPatience is how long a client follows a job of a burst.
const burstPatience = 110 * time.Second
