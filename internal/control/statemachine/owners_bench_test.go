package statemachine

import (
	"fmt"
	"testing"
)

// largeFSM returns a state with so many sessions and workers in three zones.
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

// BenchmarkSessionsComeAndGo measures one session that opens and is over, with 270 others and 3,000 workers, and how
// many updates it makes, one to all counted for each session.
func BenchmarkSessionsComeAndGo(b *testing.B) {
	const sessions, workers = 270, 3000
	c := largeFSM(sessions, workers)
	b.ReportAllocs()
	b.ResetTimer()
	told := 0
	for i := range b.N {
		id := c.Apply(&Command{OpenSession: &OpenSession{Node: "new", Zone: "z1", Incarnation: uint64(1000 + i), ExpectedLatest: c.LatestSession("new")}}).Session
		c.Apply(&Command{CloseSession: &CloseSession{Session: id}})
		for _, update := range c.DequeueUpdates() {
			if update.To == 0 {
				told += sessions
			} else {
				told++
			}
		}
	}
	b.ReportMetric(float64(told)/float64(b.N), "updates/op")
}
