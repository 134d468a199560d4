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

// Two processes change the set at once: no change is lost, twice out needs one
// call back, and whoever opens the file next has it.
func TestBansOutlastAProcess(t *testing.T) {
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

// mate is one process at the meeting place.
type mate struct {
	*Siblings
	met    string
	shared chan int
	bans   chan bool
}

func join(t *testing.T, dir, state string) *mate {
	m := &mate{shared: make(chan int, 64), bans: make(chan bool, 64)}
	var met []byte
	m.Siblings, met = Join(dir, "n0", func(string) {})
	m.met = string(met)
	err := m.Serve(Hooks{State: func() []byte { return []byte(state) }, SiblingsChanged: func(n int) { m.shared <- n },
		BansChanged: func() { m.bans <- true }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Close)
	return m
}

func (m *mate) wants(t *testing.T, want int) {
	t.Helper()
	select {
	case got := <-m.shared:
		if got != want {
			t.Errorf("told that %d share, want %d", got, want)
		}
	case <-time.After(10 * time.Second):
		t.Fatalf("not told that %d share", want)
	}
}

// The old process is small before the new one goes on, each learns of the other's
// end, a ban made at one reaches the other, and what a dead process left stops
// nobody. The folder's path may be longer than a socket's address can be.
func TestProcessesMeet(t *testing.T) {
	dir := filepath.Join(t.TempDir(), strings.Repeat("long", 40))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	first := join(t, dir, "one")
	second := join(t, dir, "two")
	first.wants(t, 2) // already in the channel: told before the state was
	if second.met != "one" || !first.HasSuccessor() || second.HasSuccessor() || second.Count() != 1 {
		t.Errorf("met %q; succeeded %v, %v", second.met, first.HasSuccessor(), second.HasSuccessor())
	}
	second.NotifyBans()
	<-first.bans
	first.NotifyBans()
	<-second.bans
	first.Close()
	second.wants(t, 1)
	third := join(t, dir, "three")
	second.wants(t, 2)
	third.Close() // it fails, and its name stays behind
	second.wants(t, 1)
	for limit := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if conn, err := second.dial(); err == nil { // a look, which does not count
			conn.Close()
			break
		} else if time.Now().After(limit) {
			t.Fatal("the name is still the failed one's:", err)
		}
	}
	fourth := join(t, dir, "four")
	if second.wants(t, 2); fourth.met != "two" {
		t.Errorf("the next one met %q", fourth.met)
	}
	second.Close()
	fourth.Close()
	if alone := join(t, dir, "five"); alone.met != "" || alone.Count() != 0 {
		t.Errorf("met %q after all have gone", alone.met)
	}
	select {
	case n := <-first.shared:
		t.Errorf("told that %d share after the end", n)
	default:
	}
}
