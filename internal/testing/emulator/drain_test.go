package emulator

import (
	"io"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// drainMs is within how many milliseconds of its listing a drain must have ended all starts (settings key Bounds.DrainMs of
// the large deployments).
const drainMs = 4000

// TestNoTaskStartsLateAtADrainingWorkerThoughTheListIsLong guards against DRAIN: the list of 3,000 workers takes seconds over
// a dispatcher's link of 2 Mbit/s, and a drain that shows on a page just after it was read waited for the next reading's end.
func TestNoTaskStartsLateAtADrainingWorkerThoughTheListIsLong(t *testing.T) {
	const (
		linkSpeed = 250_000 // bytes a second
		workers   = 45
		pageSize  = 3
		padding   = 700_000 / workers // bytes: the list is as long as one of 3,000 workers
		drained   = 8
		drainGap  = 700 * time.Millisecond
		jobGap    = 60 * time.Millisecond
		span      = 16 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		network := NewNetwork()
		network.SetSpeed("front-1", linkSpeed)
		network.SetSpeed("front-2", linkSpeed)
		y := NewCluster(Shape{Cores: 3, Tolerate: 1, Dispatchers: 2, Workers: workers, ListPageSize: pageSize,
			ListPadding: padding, DrainMs: drainMs}, network, 1, io.Discard)
		y.Start()
		y.Operator.Configure()
		time.Sleep(warmUp)
		random := rand.New(rand.NewPCG(1, 3))
		until := time.Now().Add(span)
		go func() {
			for place := range drained {
				y.DrainWorker(place, time.Minute, 0)
				time.Sleep(drainGap)
			}
		}()
		for time.Now().Before(until) {
			go y.Client(rand.New(rand.NewPCG(random.Uint64(), 4)), until.Add(10*time.Second))
			time.Sleep(jobGap)
		}
		time.Sleep(20 * time.Second)
		for _, broken := range y.Checker.Violations() {
			t.Error(broken)
		}
		y.Stop()
		time.Sleep(20 * time.Second) // timers run out
	})
}
