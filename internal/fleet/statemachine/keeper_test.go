package statemachine

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Whatever commands come in whatever order: versions follow each other one by one, one change is
// under way at most, what is in force never goes unless another comes, no lease is given under a
// version that is not in force, under refuse none while one under another may be held; and a
// snapshot holds all of it.
func TestAnyCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fence := Fence(rapid.IntRange(0, 1).Draw(t, "fence"))
		s := New(Config{Lease: time.Second, Answer: 2 * time.Second, Fence: fence, Keep: 3})
		seq := map[string]uint64{}
		for n := range rapid.IntRange(1, 120).Draw(t, "commands") {
			name := fmt.Sprint("n", rapid.IntRange(0, 3).Draw(t, "holder"))
			life := uint64(rapid.IntRange(1, 2).Draw(t, "life"))
			before := s.InForce().Version
			var c Command
			switch rapid.IntRange(0, 8).Draw(t, "kind") {
			case 0, 1:
				c.Tick = &Tick{Passed: time.Duration(rapid.IntRange(-10, 900).Draw(t, "ms")) * time.Millisecond, Seen: uint64(rapid.IntRange(0, int(s.Grants)).Draw(t, "seen"))}
			case 2, 3, 4:
				k := fmt.Sprint(name, life)
				if rapid.IntRange(0, 4).Draw(t, "late") > 0 {
					seq[k]++
				}
				c.Hold = &Hold{Name: name, Life: life, Seq: seq[k], Knows: s.InForce().Version - uint64(rapid.IntRange(0, int(min(before, 1))).Draw(t, "behind")),
					Serves: uint64(rapid.IntRange(0, 1).Draw(t, "serves"))}
			case 5, 6:
				if s.Change != nil {
					c.Say = &Say{Name: name, Life: life, Change: s.Change.ID, Why: rapid.SampledFrom([]string{"", "", "", "too new"}).Draw(t, "why")}
				}
			case 7:
				c.Propose = &Propose{ID: fmt.Sprint("c", n), Text: fmt.Append(nil, n), Base: before, WithoutSilent: rapid.Bool().Draw(t, "without")}
			case 8:
				if s.Change != nil && rapid.Bool().Draw(t, "withdraw") {
					c.Withdraw = &Withdraw{ID: s.Change.ID}
				} else {
					c.Leave = &Leave{Name: name, Life: life, Seq: seq[fmt.Sprint(name, life)] + 1}
				}
			}
			r := s.Apply(c)
			now := s.InForce()
			if now.Version < before || now.Version > before+1 {
				t.Fatalf("version %d after %d", now.Version, before)
			}
			if r.Lease > 0 && c.Hold.Knows != now.Version {
				t.Fatalf("a lease is given to one that knows %d, with %d in force", c.Hold.Knows, now.Version)
			}
			under := map[uint64]bool{}
			for _, h := range s.Living() {
				under[h.Version] = true
			}
			if fence == Refuse && len(under) > 1 {
				t.Fatalf("leases under %v", under)
			}
			if len(s.Policies) > s.Config.Keep {
				t.Fatalf("%d policies are remembered", len(s.Policies))
			}
			text, err := s.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			again, err := Restore(text)
			if err != nil {
				t.Fatal(err)
			}
			if other, _ := again.Snapshot(); string(other) != string(text) {
				t.Fatal("a snapshot is not what was taken")
			}
			if diff := cmp.Diff(s.InForce(), again.InForce()); diff != "" {
				t.Fatal(diff)
			}
		}
	})
}

// A holder that says nothing: the change is withdrawn, or goes on without it once its lease is over.
func TestSilentHolder(t *testing.T) {
	for _, without := range []bool{false, true} {
		s := New(Config{Lease: time.Second, Answer: 2 * time.Second, Keep: 3})
		pass := func(d time.Duration) { s.Apply(Command{Tick: &Tick{Passed: d, Seen: s.Grants}}) }
		seq := uint64(0)
		renew := func() Result {
			seq++
			return s.Apply(Command{Hold: &Hold{Name: "n", Life: 1, Seq: seq, Serves: 1}})
		}
		renew()
		s.Apply(Command{Propose: &Propose{ID: "c", Text: []byte("x"), WithoutSilent: without}})
		for range 30 {
			pass(100 * time.Millisecond)
			if r := renew(); r.Change == nil && s.Change.Stage == Proposed {
				t.Fatal("it is not asked")
			}
		}
		if !without {
			if s.Change.Stage != Withdrawn {
				t.Errorf("%v, with a holder that says nothing for 3 s", s.Change.Stage)
			}
			continue
		}
		pass(time.Second)
		if pass(0); s.Change.Stage != InForce || s.InForce().Version != 1 {
			t.Errorf("without silent: %v after its lease; holds up: %v", s.Change.Stage, s.Holdup())
		}
	}
}

// What comes from a link, thrown at its reader and at the state.
func FuzzCommand(f *testing.F) {
	for _, c := range []Command{{Hold: &Hold{Name: "n", Life: 1, Seq: 1}}, {Propose: &Propose{ID: "c", Text: []byte("x")}}, {Tick: &Tick{Passed: time.Second}},
		{Say: &Say{Name: "n", Change: "c"}}, {Withdraw: &Withdraw{ID: "c"}}, {Leave: &Leave{Name: "n"}}} {
		text, err := Encode(c)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var c Command
		if Decode(text, &c) != nil {
			return
		}
		s := New(Config{Lease: time.Second, Answer: time.Second, Keep: 2})
		s.Apply(Command{Propose: &Propose{ID: "c", Text: []byte("y")}})
		s.Apply(c)
		s.Apply(c)
		if _, err := s.Snapshot(); err != nil {
			t.Fatal(err)
		}
	})
}
