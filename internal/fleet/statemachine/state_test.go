package statemachine

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// After any commands in any order: versions follow each other one by one, a policy in force is only replaced by the next,
// no lease is granted under a version that is not in force, and under RefuseWork none while a lease under another version
// may be held; a snapshot holds the whole state.
func TestInvariantsHoldUnderAnyCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fence := LeaseLossMode(rapid.IntRange(0, 1).Draw(t, "fence"))
		s := New(Config{LeaseDuration: time.Second, VoteTimeout: 2 * time.Second, OnLeaseLoss: fence, PolicyHistory: 3})
		seq := map[string]uint64{}
		for n := range rapid.IntRange(1, 120).Draw(t, "commands") {
			name := fmt.Sprint("n", rapid.IntRange(0, 3).Draw(t, "holder"))
			life := uint64(rapid.IntRange(1, 2).Draw(t, "life"))
			before := s.CurrentPolicy().Version
			var c Command
			switch rapid.IntRange(0, 8).Draw(t, "kind") {
			case 0, 1:
				c.Tick = &Tick{Elapsed: time.Duration(rapid.IntRange(-10, 900).Draw(t, "ms")) * time.Millisecond, GrantsSeen: uint64(rapid.IntRange(0, int(s.GrantCount)).Draw(t, "seen"))}
			case 2, 3, 4:
				k := fmt.Sprint(name, life)
				if rapid.IntRange(0, 4).Draw(t, "late") > 0 {
					seq[k]++
				}
				c.LeaseRequest = &LeaseRequest{Name: name, Incarnation: life, Seq: seq[k], KnownVersion: s.CurrentPolicy().Version - uint64(rapid.IntRange(0, int(min(before, 1))).Draw(t, "behind")),
					ServingVersion: uint64(rapid.IntRange(0, 1).Draw(t, "serves"))}
			case 5, 6:
				if s.Change != nil {
					c.Vote = &Vote{Name: name, Incarnation: life, ChangeID: s.Change.ID, Objection: rapid.SampledFrom([]string{"", "", "", "too new"}).Draw(t, "why")}
				}
			case 7:
				c.Proposal = &Proposal{ID: fmt.Sprint("c", n), Text: fmt.Append(nil, n), BaseVersion: before, SkipUnresponsive: rapid.Bool().Draw(t, "without")}
			case 8:
				if s.Change != nil && rapid.Bool().Draw(t, "withdraw") {
					c.Withdrawal = &Withdrawal{ID: s.Change.ID}
				} else {
					c.LeaseRelease = &LeaseRelease{Name: name, Incarnation: life, Seq: seq[fmt.Sprint(name, life)] + 1}
				}
			}
			r := s.Apply(c)
			now := s.CurrentPolicy()
			if now.Version < before || now.Version > before+1 {
				t.Fatalf("version %d after %d", now.Version, before)
			}
			if r.LeaseDuration > 0 && c.LeaseRequest.KnownVersion != now.Version {
				t.Fatalf("a lease is given to one that knows %d, with %d in force", c.LeaseRequest.KnownVersion, now.Version)
			}
			under := map[uint64]bool{}
			for _, h := range s.ActiveHolders() {
				under[h.PolicyVersion] = true
			}
			if fence == RefuseWork && len(under) > 1 {
				t.Fatalf("leases under %v", under)
			}
			if len(s.Policies) > s.Config.PolicyHistory {
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
			if diff := cmp.Diff(s.CurrentPolicy(), again.CurrentPolicy()); diff != "" {
				t.Fatal(diff)
			}
		}
	})
}

// A holder that never votes: the change is withdrawn, or goes on without it once its lease has expired.
func TestUnresponsiveHolder(t *testing.T) {
	for _, without := range []bool{false, true} {
		s := New(Config{LeaseDuration: time.Second, VoteTimeout: 2 * time.Second, PolicyHistory: 3})
		pass := func(d time.Duration) { s.Apply(Command{Tick: &Tick{Elapsed: d, GrantsSeen: s.GrantCount}}) }
		seq := uint64(0)
		renew := func() Result {
			seq++
			return s.Apply(Command{LeaseRequest: &LeaseRequest{Name: "n", Incarnation: 1, Seq: seq, ServingVersion: 1}})
		}
		renew()
		s.Apply(Command{Proposal: &Proposal{ID: "c", Text: []byte("x"), SkipUnresponsive: without}})
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
		if pass(0); s.Change.Stage != InForce || s.CurrentPolicy().Version != 1 {
			t.Errorf("without silent: %v after its lease; holds up: %v", s.Change.Stage, s.WaitingFor())
		}
	}
}

// No bytes from the network make the decoder or the state panic.
func FuzzCommand(f *testing.F) {
	for _, c := range []Command{{LeaseRequest: &LeaseRequest{Name: "n", Incarnation: 1, Seq: 1}}, {Proposal: &Proposal{ID: "c", Text: []byte("x")}}, {Tick: &Tick{Elapsed: time.Second}},
		{Vote: &Vote{Name: "n", ChangeID: "c"}}, {Withdrawal: &Withdrawal{ID: "c"}}, {LeaseRelease: &LeaseRelease{Name: "n"}}} {
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
		s := New(Config{LeaseDuration: time.Second, VoteTimeout: time.Second, PolicyHistory: 2})
		s.Apply(Command{Proposal: &Proposal{ID: "c", Text: []byte("y")}})
		s.Apply(c)
		s.Apply(c)
		if _, err := s.Snapshot(); err != nil {
			t.Fatal(err)
		}
	})
}
