package emulator

import (
	"io"
	"testing"
	"testing/synctest"
	"time"
)

// A regression test: one of 2,000 schedules ended while a worker was down; its next incarnation began after everything was
// stopped, and nothing ever closed its server.
func TestNoWorkerBeginsOnceTheStandInsAreStopped(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		const restartAfter = time.Second
		cluster := NewCluster(Shape{Cores: 1, Dispatchers: 1, Workers: 2}, NewNetwork(), 1, io.Discard)
		cluster.StartStandIns()
		cluster.RestartWorker(0, restartAfter)
		cluster.StopStandIns()
		time.Sleep(2 * restartAfter)
	})
}
