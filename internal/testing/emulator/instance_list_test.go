package emulator

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
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

// listedWorkers asks the platform for its list, and returns it in one line: each worker's ID, state and
// tenths of a second that remain.
func listedWorkers(t *testing.T, y *Cluster) string {
	t.Helper()
	status, text := y.call(http.MethodGet, "http://"+y.Address(cloudName)+"/instances", "", time.Second, "")
	page := struct{ Instances []listEntry }{}
	if err := json.Unmarshal([]byte(text), &page); status != http.StatusOK || err != nil {
		t.Fatal(status, err)
	}
	words := []string{}
	for _, entry := range page.Instances {
		words = append(words, fmt.Sprintf("%s %s %d", entry.ID, entry.State, (entry.RemainingMs+50)/100))
	}
	return strings.Join(words, ", ")
}

func TestADrainedWorkerLeavesAndAnotherComes(t *testing.T) {
	const remaining, linger, call = 4 * time.Second, time.Second, 10 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		y := NewCluster(Shape{Cores: 1, Dispatchers: 1, Workers: 2}, NewNetwork(), 1, io.Discard)
		y.StartStandIns()
		began := time.Now()
		y.DrainWorker(0, remaining, linger)
		time.Sleep(time.Millisecond)
		y.DrainWorker(0, time.Minute, time.Minute) // it drains already
		drained := y.list.workers[0]
		for _, c := range []struct {
			at   time.Duration
			want string
		}{
			{listLag - call, "i-1 ready 0, i-2 ready 0"},
			{listLag + time.Second, "i-1 draining 30, i-2 ready 0"},
			{listLag + remaining + linger - call, "i-1 draining 0, i-2 ready 0"},
			{listLag + remaining + linger + listLag + call, "i-2 ready 0"},
			{listLag + remaining + linger + successorAfter + listLag + call, "i-3 ready 0, i-2 ready 0"},
		} {
			time.Sleep(time.Until(began.Add(c.at)))
			if got := listedWorkers(t, y); got != c.want {
				t.Errorf("after %v: %s, want %s", c.at, got, c.want)
			}
			drained.mu.Lock()
			serves := !drained.dead
			drained.mu.Unlock()
			if serves != (c.at < listLag+remaining+linger) {
				t.Errorf("after %v: the drained worker serves: %v", c.at, serves)
			}
		}
		y.StopStandIns()
		time.Sleep(time.Minute)
	})
}
