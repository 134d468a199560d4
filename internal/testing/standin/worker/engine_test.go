package worker

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"yardflow/internal/testing/standin/machine"
)

// The engine in virtual time: a job of two slots waits at the head until it fits,
// and holds up the one behind it, which would fit; a drain hands back what waits.
func TestHeadWaitsUntilItFits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := NewEngine(machine.New(2, 8, 2)) // of speed 2
		began := time.Now()
		_, first := e.Submit(1, 2*time.Second)
		_, large := e.Submit(2, 2*time.Second)
		_, small := e.Submit(1, 2*time.Second)
		_, last := e.Submit(1, time.Second)
		see := func(news <-chan machine.Event, kind machine.Kind, at time.Duration) {
			t.Helper()
			if n := <-news; n.Kind != kind || (time.Since(began)-at).Abs() > time.Millisecond {
				t.Errorf("%+v at %v, want kind %d at %v", n, time.Since(began), kind, at)
			}
		}
		see(first, machine.Started, 0)
		if e.Free() != 0 {
			t.Error("a slot is free while the head waits for it")
		}
		see(first, machine.Done, time.Second)
		see(large, machine.Started, time.Second)
		see(large, machine.Done, 2*time.Second)
		see(small, machine.Started, 2*time.Second)
		see(last, machine.Started, 2*time.Second)
		_, waits := e.Submit(2, time.Second)
		e.Do(func(m *machine.Machine, now time.Duration) []machine.Event { return m.Drain(now, true) })
		see(waits, machine.Returned, 2*time.Second)
		see(last, machine.Done, 2500*time.Millisecond)
		see(small, machine.Done, 3*time.Second)
		_, after := e.Submit(1, time.Second)
		see(after, machine.Returned, 3*time.Second)
		// Restarted: cold at 30% of its speed, warm 8 s later: 5.2 s of its work by then.
		e.Do(func(m *machine.Machine, now time.Duration) []machine.Event { return m.Restart(now, 0.3, 8*time.Second) })
		_, cold := e.Submit(1, 10400*time.Millisecond)
		id, gone := e.Submit(1, time.Second)
		see(cold, machine.Started, 3*time.Second)
		see(gone, machine.Started, 3*time.Second)
		e.Cancel(id)
		see(cold, machine.Done, 11*time.Second)
		_, slow := e.Submit(1, 2*time.Second)
		time.Sleep(500 * time.Millisecond)
		e.Do(func(m *machine.Machine, now time.Duration) []machine.Event { return m.Speed(now, 0.25) })
		see(slow, machine.Started, 11500*time.Millisecond)
		see(slow, machine.Done, 15500*time.Millisecond)
	})
}

// The same machine behind a socket tells of a job as the platform's protocol has it.
func TestOnLoopback(t *testing.T) {
	w, err := Start("s-1", 1, func(string) time.Duration { return time.Millisecond })
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	ask := func(id string) string {
		q, err := http.NewRequest(http.MethodPost, "http://"+w.Addr+"/issue-loan", strings.NewReader("x"))
		if err != nil {
			t.Fatal(err)
		}
		q.Header.Set("X-Request-ID", id)
		q.Header.Set("X-Priority-Class", "issue-loan")
		resp, err := http.DefaultClient.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		return fmt.Sprint(resp.StatusCode, " ", strings.Count(string(text), "\n"), " ", strings.Contains(string(text), `"state":"done"`), err)
	}
	if got := ask("r1"); got != "200 2 true <nil>" {
		t.Error(got)
	}
	w.Engine.Do(func(m *machine.Machine, now time.Duration) []machine.Event { return m.Drain(now, true) })
	if got := ask("r2"); got != "200 1 false <nil>" { // handed back
		t.Error(got)
	}
	if got := w.Arrivals(); len(got) != 2 || !got[0].Done || got[1].Done {
		t.Errorf("%+v", got)
	}
}
