package emulator

import (
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestJobsCancelledWhileTheHeadIsFrozenNeverRun guards against UNASKED: submissions that waited for a frozen head were
// applied after their jobs' cancelling was answered 410, and the jobs ran to their ends.
func TestJobsCancelledWhileTheHeadIsFrozenNeverRun(t *testing.T) {
	const (
		jobs      = 48
		jobGap    = 10 * time.Millisecond
		frozenFor = 4 * time.Second
		watch     = 20 * time.Second
	)
	for seed := uint64(1); seed <= 4; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				y := NewCluster(Shape{Cores: 3, Tolerate: 1, Dispatchers: 9, Workers: 12}, NewNetwork(), seed, io.Discard)
				y.Start()
				y.Operator.Configure()
				time.Sleep(warmUp)
				head := y.head()
				if head == nil {
					t.Fatal("no head is known")
				}
				time.AfterFunc(frozenFor, head.Freeze())
				random := rand.New(rand.NewPCG(seed, 3))
				var clients sync.WaitGroup
				for range jobs {
					own := rand.New(rand.NewPCG(random.Uint64(), 4))
					clients.Go(func() { y.CancellingClient(own) })
					time.Sleep(jobGap)
				}
				clients.Wait()
				time.Sleep(watch)
				y.Checker.Finish()
				for _, broken := range y.Checker.Violations() {
					t.Error(broken)
				}
				y.Stop()
				time.Sleep(20 * time.Second) // timers run out
			})
		})
	}
}
