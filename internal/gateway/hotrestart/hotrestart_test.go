package hotrestart

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Two processes change the list at the same time: no change is lost, one call lifts a ban that was made twice, and whoever
// opens the file next has the list.
func TestBansSurviveProcess(t *testing.T) {
	dir := t.TempDir()
	var wg sync.WaitGroup
	for p := range 2 {
		b, err := OpenBanList(dir, "n/0")
		if err != nil {
			t.Fatal(err)
		}
		wg.Go(func() {
			for i := range 20 {
				for _, out := range []bool{true, true, i%2 == 0} {
					if _, err := b.Set(fmt.Sprintf("s-%d%02d", p, i), out); err != nil {
						t.Error(err)
					}
				}
			}
		})
	}
	wg.Wait()
	var want []string
	for p := range 2 {
		for i := 0; i < 20; i += 2 {
			want = append(want, fmt.Sprintf("s-%d%02d", p, i))
		}
	}
	b, err := OpenBanList(dir, "n/0")
	if err != nil {
		t.Fatal(err)
	}
	got, err := b.Reload()
	if diff := cmp.Diff(want, got); diff != "" || err != nil || !b.Contains("s-000") || b.Contains("s-001") {
		t.Error(diff, err)
	}
}

// testProcess is one process of the dispatcher.
type testProcess struct {
	*Siblings
	inherited     string
	processCounts chan int
	bans          chan bool
}

func startProcess(t *testing.T, dir, state string) *testProcess {
	p := &testProcess{processCounts: make(chan int, 64), bans: make(chan bool, 64)}
	var inherited []byte
	p.Siblings, inherited = Join(dir, "n0", func(string) {})
	p.inherited = string(inherited)
	err := p.Serve(Hooks{State: func() []byte { return []byte(state) }, SiblingsChanged: func(n int) { p.processCounts <- n },
		BansChanged: func() { p.bans <- true }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

func (p *testProcess) expectCount(t *testing.T, want int) {
	t.Helper()
	select {
	case got := <-p.processCounts:
		if got != want {
			t.Errorf("notified that %d processes share, want %d", got, want)
		}
	case <-time.After(10 * time.Second):
		t.Fatalf("not notified that %d processes share", want)
	}
}

// The old process shrinks before the new one goes on, each is notified of the other's end, a ban made at one reaches the
// other, and what a killed process left behind stops nobody. The folder's path may be longer than a socket's address.
func TestProcessesJoinAndLeave(t *testing.T) {
	dir := filepath.Join(t.TempDir(), strings.Repeat("long", 40))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	first := startProcess(t, dir, "one")
	second := startProcess(t, dir, "two")
	first.expectCount(t, 2) // already in the channel: notified before the state was sent
	if second.inherited != "one" || !first.HasSuccessor() || second.HasSuccessor() || second.Count() != 1 {
		t.Errorf("inherited %q; successors %v, %v", second.inherited, first.HasSuccessor(), second.HasSuccessor())
	}
	second.NotifyBans()
	<-first.bans
	first.NotifyBans()
	<-second.bans
	first.Close()
	second.expectCount(t, 1)
	third := startProcess(t, dir, "three")
	second.expectCount(t, 2)
	third.Close() // it fails, and the socket's name stays behind
	second.expectCount(t, 1)
	for limit := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if conn, err := second.dial(); err == nil { // this does not join
			conn.Close()
			break
		} else if time.Now().After(limit) {
			t.Fatal("the socket's name is still the failed process's:", err)
		}
	}
	fourth := startProcess(t, dir, "four")
	if second.expectCount(t, 2); fourth.inherited != "two" {
		t.Errorf("the next one inherited %q", fourth.inherited)
	}
	second.Close()
	fourth.Close()
	if alone := startProcess(t, dir, "five"); alone.inherited != "" || alone.Count() != 0 {
		t.Errorf("inherited %q after all have ended", alone.inherited)
	}
	select {
	case n := <-first.processCounts:
		t.Errorf("notified that %d processes share after the end", n)
	default:
	}
}
