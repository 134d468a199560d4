package consensus

import (
	"strings"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"
)

func TestElectionTimeoutsFollowDelays(t *testing.T) {
	const interval = 100 * time.Millisecond
	began := time.Now()
	for _, c := range []struct {
		name  string
		delay time.Duration
		after time.Duration // since the delay
		want  int           // times as long
	}{
		{"no delay", 0, 0, 1},
		{"heartbeats of a leader that is slowed down itself", 4 * interval, 0, 1},
		{"half a time-out", 5 * interval, 0, 1},
		{"more than half a time-out", 6 * interval, 0, 2},
		{"a time-out", 10 * interval, 0, 2},
		{"more than a time-out", 11 * interval, 0, 4},
		{"an hour", time.Hour, 0, maxSlowdown},
		{"more than a time-out, a calm span ago", 11 * interval, calmSpan, 2},
		{"more than a time-out, two calm spans ago", 11 * interval, 2 * calmSpan, 1},
	} {
		p := electionPace{interval: interval}
		p.observe(began, c.delay)
		if got := p.slowdown(began.Add(c.after)); got != c.want {
			t.Errorf("%s: %d times as long, want %d", c.name, got, c.want)
		}
		if got := p.ticks(began.Add(c.after)); got != ticksPerInterval/c.want {
			t.Errorf("%s: %d ticks", c.name, got)
		}
	}
	p := electionPace{interval: interval}
	p.observe(began, 20*interval)
	p.observe(began.Add(time.Second), interval)
	if p.longest != 20*interval {
		t.Error("a short delay hides a long one")
	}
}

// The silence of the leader counts as a delay once it is heard again, also where another was elected meanwhile; that of
// others, and one as long as a restart, does not.
func TestSilenceOfALeaderThatComesBackCounts(t *testing.T) {
	const interval = 100 * time.Millisecond
	for _, c := range []struct {
		name    string
		from    uint64
		elected bool // another member meanwhile
		silence time.Duration
		want    time.Duration
	}{
		{"the leader", 2, false, 12 * interval, 11 * interval},
		{"a leader that was taken for dead", 2, true, 12 * interval, 11 * interval},
		{"another member", 3, false, 12 * interval, 0},
		{"a leader that was restarted", 2, false, 60 * interval, 0},
	} {
		now := time.Now()
		n := &Node{cfg: Config{TickInterval: interval, Log: func(string) {}}, pace: electionPace{interval: interval}, progress: map[uint64]logPosition{},
			lastHeard: map[uint64]time.Time{2: now.Add(-c.silence), 3: now.Add(-c.silence)}}
		n.setLeader(2)
		if c.elected {
			n.setLeader(0)
		}
		n.recordProgress(&raftpb.Message{From: &c.from, Type: raftpb.MessageType_MsgHeartbeat.Enum()})
		if got := n.pace.longest; got < c.want || got > c.want+interval {
			t.Errorf("%s: a delay of %v, want %v", c.name, got, c.want)
		}
	}
}

func TestStallsAreLoggedWithTheirCauses(t *testing.T) {
	const interval, threshold = 100 * time.Millisecond, 500 * time.Millisecond
	m, now := stallMonitor{}, time.Now()
	tick := func(after time.Duration) (time.Duration, string) {
		now = now.Add(after)
		return m.tick(now, interval, threshold)
	}
	for range 20 {
		if late, line := tick(interval); late != 0 || line != "" {
			t.Fatalf("a tick in time is late by %v: %q", late, line)
		}
	}
	m.synced(80 * time.Millisecond)
	late, line := tick(interval + threshold)
	if late != threshold || !strings.Contains(line, "held up for 500ms") || !strings.Contains(line, "longest write took 80ms") {
		t.Errorf("late by %v: %q", late, line)
	}
	if _, line := tick(interval + threshold); line != "" {
		t.Errorf("logged again at once: %q", line)
	}
	if _, line := tick(stallLogPause); line == "" {
		t.Error("not logged though the pause is over")
	}
}
