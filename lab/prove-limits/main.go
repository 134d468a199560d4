// Prove-limits measures what limits of the whole fleet promise: walks through faults, how fast parts
// follow demand, what an admission costs, what the keepers bear at 300 dispatchers and 10,000
// limits, and real processes in trouble. Each figure stands beside its aim; exit code 1 where one
// is missed.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"yardflow/internal/fleet/quota"
	"yardflow/internal/fleet/statemachine"
	"yardflow/lab/rig/prove"
)

var seed = flag.Uint64("seed", 1, "of what is drawn")

func main() {
	flag.Parse()
	t := prove.New()
	var wg sync.WaitGroup
	wg.Go(func() {
		t.Scenarios(*seed, "limit-rate", "limit-rate-refuse", "limit-lowered", "limit-open", "limit-retries")
	})
	wg.Wait()
	follow(t)
	admission(t)
	scale(t)
	t.End()
}

const lease = time.Second

// follow has demand move from one of 12 dispatchers to all others, by both ways of sharing out.
func follow(t *prove.Table) {
	for _, evenly := range []bool{false, true} {
		way := "max-min fair"
		if evenly {
			way = "proportional"
		}
		b := quota.NewAllocator()
		b.Proportional = evenly
		l := quota.Limit{Name: "l", Kind: quota.RequestRate, Amount: 600 * quota.Unit, Burst: 24 * quota.Unit, StaticShare: quota.Unit / 5, MaxHolders: 12}
		b.SetLimits([]quota.Limit{l})
		desks := make([]*quota.Limiter, 12)
		heard := make([]uint64, 12)
		for i := range desks {
			desks[i] = quota.NewLimiter()
			desks[i].SetLimits(0, []quota.Limit{l})
		}
		grants, now := uint64(0), time.Duration(0)
		run := func(span time.Duration, busy func(i int) bool) float64 {
			in := 0
			for end := now + span; now < end; now += 10 * time.Millisecond {
				for i, d := range desks {
					if busy(i) {
						for range 20 {
							if _, short, _ := d.Admit(now, quota.Scope{}, 1); short == "" {
								in++
							}
						}
					}
					if int(now/(10*time.Millisecond))%33 == i*2 { // three calls a lease, not all at once
						grants++
						parts := b.Allocate(fmt.Sprint(i), grants, heard[i], d.Requests(now))
						d.SetShares(now, now+lease*98/100, parts)
						heard[i] = grants
						for who := range b.Holders {
							b.StartExpiry(who, grants, now+lease)
						}
					}
				}
				b.Advance(now)
			}
			return float64(in) / span.Seconds() / 600
		}
		run(3*lease, func(i int) bool { return i == 0 })
		one := run(2*lease, func(i int) bool { return i == 0 })
		run(2*lease, func(i int) bool { return i > 0 })
		got := run(2*lease, func(i int) bool { return i > 0 })
		most := 1 - 11.0/12*0.2 // the static shares of the 11 others stay theirs
		t.Row(way+": share of the limit that one of 12 can use", fmt.Sprintf("%.3f", one), fmt.Sprintf("%.2f, less 0.03", most), one >= most-0.03)
		t.Row(way+": share used two leases after demand has moved to 11", fmt.Sprintf("%.3f", got), "0.95", got >= 0.95)
	}
}

func admission(t *prove.Table) {
	got := testing.Benchmark(func(b *testing.B) {
		d := quota.NewLimiter()
		d.SetLimits(0, []quota.Limit{{Name: "r", Kind: quota.RequestRate, Amount: 1e6 * quota.Unit, Burst: 1e6 * quota.Unit, MaxHolders: 1}, {Name: "o", Kind: quota.Concurrency, Amount: 1e6 * quota.Unit, MaxHolders: 1}})
		d.SetShares(0, time.Hour, []quota.Share{{Limit: "r", Amount: 1e6 * quota.Unit}, {Limit: "o", Amount: 1e6 * quota.Unit}})
		b.ReportAllocs()
		for n := range b.N {
			ticket, _, _ := d.Admit(time.Duration(n)*time.Microsecond, quota.Scope{Class: "c"}, 1)
			d.Done(&ticket, 0)
		}
	})
	t.Row("an admission under two limits, and its end", fmt.Sprintf("%d ns, %d allocations", got.NsPerOp(), got.AllocsPerOp()), "200 ns, 0", got.NsPerOp() < 200 && got.AllocsPerOp() == 0)
}

// scale is what the keepers' state takes of one core at 300 dispatchers and 10,000 limits, each
// dispatcher wanting something of 200 of them, with leases of 3 s renewed each second.
func scale(t *prove.Table) {
	const dispatchers, limits, each = 300, 10000, 200
	s := statemachine.New(statemachine.Config{LeaseDuration: 3 * time.Second, VoteTimeout: 10 * time.Second, PolicyHistory: 2, OnLeaseLoss: statemachine.KeepLastPolicy})
	var all []quota.Limit
	for i := range limits {
		all = append(all, quota.Limit{Name: fmt.Sprint("l", i), Kind: quota.RequestRate, Amount: 100 * quota.Unit, Burst: 400 * quota.Unit, StaticShare: quota.Unit / 5, MaxHolders: 320})
	}
	s.Apply(statemachine.Command{Proposal: &statemachine.Proposal{ID: "c", Text: []byte("x"), Limits: all}})
	rnd := rand.New(rand.NewPCG(*seed, 9))
	seq, calls, bytes, back := uint64(0), 0, 0, 0
	heard := make([]uint64, dispatchers)
	wants := make([][]quota.Request, dispatchers)
	for i := range wants {
		for range each {
			wants[i] = append(wants[i], quota.Request{Limit: fmt.Sprint("l", rnd.IntN(limits)), Demand: int64(rnd.IntN(20)) * quota.Unit})
		}
	}
	round := func() {
		seq++
		for i := range dispatchers {
			hold := statemachine.LeaseRequest{Name: fmt.Sprint("d", i), Incarnation: 1, Seq: seq, KnownVersion: s.CurrentPolicy().Version, ServingVersion: 1, CurrentGrant: heard[i], QuotaRequests: wants[i]}
			text, _ := statemachine.Encode(statemachine.Command{LeaseRequest: &hold})
			var c statemachine.Command
			_ = statemachine.Decode(text, &c)
			r := s.Apply(c)
			heard[i] = r.Grant
			answer, _ := statemachine.Encode(r)
			calls, bytes, back = calls+1, bytes+len(text), back+len(answer)
		}
		for range 10 {
			s.Apply(statemachine.Command{Tick: &statemachine.Tick{Elapsed: 100 * time.Millisecond, GrantsSeen: s.GrantCount}})
		}
	}
	round()
	calls, bytes, back = 0, 0, 0
	began := time.Now()
	const rounds = 3
	for range rounds {
		round()
	}
	share := time.Since(began).Seconds() / rounds
	t.Row("300 dispatchers, 10,000 limits: of a core at each keeper", fmt.Sprintf("%.2f", share), "0.5", share < 0.5)
	t.Row("300 dispatchers, 10,000 limits: a call and its answer", fmt.Sprintf("%d and %d bytes", bytes/calls, back/calls), "", true)
	t.Row("300 dispatchers, 10,000 limits: more out than may be", fmt.Sprint(s.Quota.Overcommits), "0", s.Quota.Overcommits == 0)
}
