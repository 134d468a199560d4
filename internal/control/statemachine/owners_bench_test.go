package statemachine

import (
	"fmt"
	"testing"
)

// largeFSM returns a state machine with sessions and workers in three zones.
func largeFSM(sessions, workers int) *FSM {
	c := New(25)
	for i := range sessions {
		c.Apply(&Command{OpenSession: &OpenSession{Node: fmt.Sprint("front-", i), Zone: fmt.Sprint("z", i%3), Incarnation: uint64(i + 1)}})
	}
	command := &InstancesChanged{Reader: c.InstanceReader(), Sequence: 1}
	for i := range workers {
		command.Changed = append(command.Changed, Instance{ID: fmt.Sprint("i-", i), Zone: fmt.Sprint("z", i%3),
			Address: fmt.Sprint("10.0.0.1:", i), Service: "service"})
	}
	c.Apply(&Command{InstancesChanged: command})
	c.DequeueUpdates()
	c.DequeueNotices()
	return c
}

// BenchmarkOpenAndCloseSession measures opening and closing one session while 270 other sessions are open and 3,000 workers
// are listed, and the number of updates that are sent. An update to all sessions counts once for each session.
func BenchmarkOpenAndCloseSession(b *testing.B) {
	const sessions, workers = 270, 3000
	c := largeFSM(sessions, workers)
	b.ReportAllocs()
	b.ResetTimer()
	sent := 0
	for i := range b.N {
		id := c.Apply(&Command{OpenSession: &OpenSession{Node: "new", Zone: "z1", Incarnation: uint64(1000 + i), ExpectedLatest: c.LatestSession("new")}}).Session
		c.Apply(&Command{CloseSession: &CloseSession{Session: id}})
		for _, update := range c.DequeueUpdates() {
			if update.To == 0 {
				sent += sessions
			} else {
				sent++
			}
		}
	}
	b.ReportMetric(float64(sent)/float64(b.N), "updates/op")
}
