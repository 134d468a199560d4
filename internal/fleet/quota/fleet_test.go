package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// fleet is an allocator and some limiters, with messages that are late or lost and dispatchers that crash. It counts
// what is really admitted by itself.
type fleet struct {
	now          time.Duration
	allocator    *Allocator
	limit        Limit
	leases       uint64
	dispatchers  []*dispatcher
	incarnations int
	level        float64 // of a rate: what was admitted beyond the amount, as a leaky bucket
	jobs         []job
	expiresEarly bool // the coordinators take leases to have ended too soon
}

type dispatcher struct {
	name         string
	limiter      *Limiter
	acknowledged uint64
	requestedAt  time.Duration
	answer       []Share
	pendingLease uint64 // of the answer in flight; 0: there is none
}

type job struct {
	dispatcher *dispatcher
	ticket     Ticket
	ends       time.Duration
	orphaned   bool // its dispatcher crashed: it runs on
}

const leaseTime = time.Second

func newFleet(limit Limit, holders int, proportional bool) *fleet {
	f := &fleet{allocator: NewAllocator(), limit: limit}
	f.allocator.Proportional = proportional
	f.allocator.SetLimits([]Limit{limit})
	for range holders {
		f.dispatchers = append(f.dispatchers, f.newDispatcher())
	}
	return f
}

func (f *fleet) newDispatcher() *dispatcher {
	f.incarnations++
	d := &dispatcher{name: fmt.Sprint("h", f.incarnations), limiter: NewLimiter()}
	d.limiter.SetLimits(f.now, []Limit{f.limit})
	return d
}

func (f *fleet) advance(by time.Duration) {
	f.now += by
	until := f.now + leaseTime
	if f.expiresEarly {
		until -= leaseTime / 2
	}
	for who := range f.allocator.Holders {
		f.allocator.StartExpiry(who, f.leases, until)
	}
	f.allocator.Advance(f.now)
	f.level = max(f.level-float64(f.limit.Amount)*by.Seconds(), 0)
	kept := f.jobs[:0]
	for _, j := range f.jobs {
		if j.ends > f.now {
			kept = append(kept, j)
		} else if !j.orphaned {
			j.dispatcher.limiter.Done(&j.ticket, 100*time.Millisecond)
		}
	}
	f.jobs = kept
}

// request has a dispatcher's request reach the allocator; its answer is in flight then.
func (f *fleet) request(d *dispatcher, acknowledged uint64) {
	f.leases++
	d.requestedAt, d.pendingLease = f.now, f.leases
	d.answer = f.allocator.Allocate(d.name, d.pendingLease, acknowledged, d.limiter.Requests(f.now))
}

// receive has the answer arrive.
func (f *fleet) receive(d *dispatcher, until time.Duration) {
	if d.pendingLease != 0 {
		d.limiter.SetShares(f.now, until, d.answer)
		d.acknowledged, d.pendingLease = d.pendingLease, 0
	}
}

// admit offers some requests, and returns how many were admitted.
func (f *fleet) admit(d *dispatcher, offered int, runs time.Duration) (admitted int) {
	for range offered {
		if ticket, exhausted, _ := d.limiter.Admit(f.now, Scope{}, 1); exhausted == "" {
			admitted++
			f.level += Unit
			f.jobs = append(f.jobs, job{dispatcher: d, ticket: ticket, ends: f.now + runs})
		}
	}
	return admitted
}

// check says how the limit is violated; empty: it is not.
func (f *fleet) check() string {
	if f.limit.Kind == Concurrency {
		if open := int64(len(f.jobs)) * Unit; open > f.limit.Amount {
			return fmt.Sprintf("%d open of %d", open/Unit, f.limit.Amount/Unit)
		}
	} else if f.level > float64(f.limit.Burst)+1 {
		return fmt.Sprintf("%.3f at once beyond the rate, of %d", f.level/Unit, f.limit.Burst/Unit)
	}
	if f.allocator.Overcommits != 0 {
		return "more is handed out than may be"
	}
	return ""
}

func limits(kind Kind, holders int64) Limit {
	l := Limit{Name: "l", Kind: kind, Amount: 40 * Unit, StaticShare: Unit / 4, MaxHolders: holders, ReclaimDelay: 2 * time.Second}
	if !kind.countsConcurrency() {
		l.Burst = 30 * Unit
	}
	return l
}

// fault is a mistake planted on purpose, in what surrounds the allocator and the limiters.
type fault string

const (
	noFault                 fault = ""
	sharesNeverExpire       fault = "shares are used beyond their lease"
	countsFromAnswer        fault = "a lease counts from its answer"
	dropsEarlierShares      fault = "earlier shares are taken to be in use no more once another is handed out"
	reclaimsAtOnce          fault = "requests of a vanished holder are taken to have ended"
	coordinatorsExpireEarly fault = "a lease ends at the coordinators before it ends at its holder"
)

// randomWalk has everybody admit all they can, through requests that are late or lost, partitions and crashes, and says
// how the limit is violated; empty: it is not.
func randomWalk(seed uint64, kind Kind, planted fault) string {
	rnd := rand.New(rand.NewPCG(seed, 11))
	limit := limits(kind, 12) // a crashed one's static share counts while its jobs may run: each incarnation is a holder
	if planted == reclaimsAtOnce {
		limit.ReclaimDelay = 0
	}
	f := newFleet(limit, 5, seed%2 == 0)
	f.expiresEarly = planted == coordinatorsExpireEarly
	partitionedUntil := map[*dispatcher]time.Duration{}
	for range 400 {
		f.advance(time.Duration(1+rnd.IntN(120)) * time.Millisecond)
		for _, d := range f.dispatchers {
			if rnd.IntN(3) > 0 {
				f.admit(d, 1+rnd.IntN(60), time.Duration(1+rnd.IntN(1900))*time.Millisecond)
			}
			switch n := rnd.IntN(40); {
			case partitionedUntil[d] > f.now:
				continue
			case n == 0:
				partitionedUntil[d] = f.now + time.Duration(rnd.IntN(4000))*time.Millisecond
			case n == 1 && f.incarnations < 12:
				for i := range f.jobs {
					f.jobs[i].orphaned = f.jobs[i].orphaned || f.jobs[i].dispatcher == d
				}
				*d = *f.newDispatcher()
			case n == 2:
				d.pendingLease = 0 // the answer is lost
			case n < 20:
				if d.pendingLease == 0 {
					acknowledged := d.acknowledged
					if planted == dropsEarlierShares {
						acknowledged = f.leases + 1
					}
					f.request(d, acknowledged)
				}
			case d.pendingLease != 0:
				expiry := d.requestedAt + leaseTime*98/100
				switch planted {
				case sharesNeverExpire:
					expiry = 1 << 60
				case countsFromAnswer:
					expiry = f.now + leaseTime*98/100
				}
				f.receive(d, expiry)
			}
		}
		if violation := f.check(); violation != "" {
			return fmt.Sprintf("seed %d at %v: %s", seed, f.now, violation)
		}
	}
	return ""
}

// Whatever is late or lost, and whoever crashes, pauses or is partitioned: what is admitted by all never exceeds the
// limit by as much as one request. Each planted fault is found.
func TestAdmittedWorkNeverExceedsALimit(t *testing.T) {
	t.Parallel()
	for _, kind := range []Kind{RequestRate, Concurrency} {
		for seed := range uint64(150) {
			if violation := randomWalk(seed, kind, noFault); violation != "" {
				t.Fatalf("%v: %s", kind, violation)
			}
		}
	}
	for _, planted := range []fault{sharesNeverExpire, countsFromAnswer, dropsEarlierShares, reclaimsAtOnce, coordinatorsExpireEarly} {
		found := false
		for seed := uint64(0); seed < 150 && !found; seed++ {
			found = randomWalk(seed, Concurrency, planted) != "" || randomWalk(seed, RequestRate, planted) != ""
		}
		if !found {
			t.Errorf("not found: %s", planted)
		}
	}
}

// Demand moves from one dispatcher to all others: within two leases 95% of the limit is used again, by either way of
// dividing it.
func TestSharesFollowDemand(t *testing.T) {
	for _, proportional := range []bool{false, true} {
		for _, kind := range []Kind{RequestRate, Concurrency} {
			f := newFleet(limits(kind, 8), 8, proportional)
			used := func(busy []*dispatcher, span time.Duration) (share float64) {
				admitted, ticks := 0, 0
				for end := f.now + span; f.now < end; ticks++ {
					for _, d := range busy {
						admitted += f.admit(d, 80/len(busy), 95*time.Millisecond)
					}
					for i, d := range f.dispatchers {
						if ticks%3 == i%3 { // three requests a lease
							f.request(d, d.acknowledged)
							f.receive(d, f.now+leaseTime)
						}
					}
					f.advance(100 * time.Millisecond)
					if violation := f.check(); violation != "" {
						t.Fatalf("%v: %s", kind, violation)
					}
				}
				if kind == Concurrency {
					return float64(admitted) / float64(ticks) / 40
				}
				return float64(admitted) / span.Seconds() / 40
			}
			used(f.dispatchers[:1], 2*leaseTime)
			if got := used(f.dispatchers[:1], 2*leaseTime); got < 0.75 { // the static shares of the others stay theirs
				t.Errorf("%v, proportional %t: one uses %.2f", kind, proportional, got)
			}
			used(f.dispatchers[1:], 2*leaseTime)
			if got := used(f.dispatchers[1:], 2*leaseTime); got < 0.95 {
				t.Errorf("%v, proportional %t: %.2f used two leases after demand has moved", kind, proportional, got)
			}
		}
	}
}

// What a holder says that can't be true costs the others nothing, whatever it demands.
func TestFalseRequestsCostOthersNothing(t *testing.T) {
	allocator := NewAllocator()
	allocator.SetLimits([]Limit{limits(Concurrency, 4)})
	for n, r := range []Request{{"l", -1 << 60, -1 << 60}, {"l", 1<<63 - 1, 1<<63 - 1}, {"none", 5, 5}} {
		allocator.Allocate("liar", uint64(n+1), uint64(n), []Request{r})
	}
	got := allocator.Allocate("other", 9, 0, []Request{{"l", 10 * Unit, 0}})
	if len(got) != 1 || got[0].Amount < 2*Unit || allocator.Overcommits != 0 {
		t.Errorf("%+v beside one whose requests are false; %d overcommits", got, allocator.Overcommits)
	}
}

// A job that costs more than may be saved up is admitted and paid back; retries are a ratio of first attempts; a limit of
// 0 admits nothing beyond what was saved up.
func TestWorkIsPaidBackRetriesAreARatioAndZeroAdmitsNothing(t *testing.T) {
	limiter := NewLimiter()
	work := Limit{Name: "w", Kind: WorkRate, Amount: Unit, Burst: 2 * Unit, MaxHolders: 1}
	retries := Limit{Name: "r", Kind: RetryBudget, RetryRatio: Unit / 4, Burst: Unit, MaxHolders: 1}
	limiter.SetLimits(0, []Limit{work, retries})
	limiter.SetShares(0, time.Hour, []Share{{"w", Unit}})
	now := 10 * time.Second
	ticket, exhausted, _ := limiter.Admit(now, Scope{}, 20) // 20 slots at 0.2 s estimated
	if exhausted != "" {
		t.Fatal("an expensive job is never admitted")
	}
	limiter.Done(&ticket, 500*time.Millisecond) // it took 10 slot-seconds, and 8 are owed
	if _, exhausted, retryAfter := limiter.Admit(now+5*time.Second, Scope{}, 1); exhausted != "w" || retryAfter <= 0 {
		t.Errorf("what is owed is not paid back: %q, %v", exhausted, retryAfter)
	}
	now += 20 * time.Second
	attempts, retried := 0, 0
	for range 40 {
		now += time.Second
		ticket, exhausted, _ := limiter.Admit(now, Scope{}, 1)
		if exhausted != "" {
			t.Fatal(exhausted)
		}
		attempts++
		if limiter.TakeRetry(now, &ticket) {
			retried++
		}
		limiter.Done(&ticket, time.Millisecond)
	}
	if retried < attempts/4-1 || retried > attempts/4+1 {
		t.Errorf("%d retries of %d first attempts, want a quarter", retried, attempts)
	}
	limiter.SetLimits(now, []Limit{{Name: "w", Kind: WorkRate, Burst: Unit, MaxHolders: 1}})
	limiter.SetShares(now, now+time.Hour, nil)
	for exhausted = ""; exhausted == ""; { // what was saved up
		_, exhausted, _ = limiter.Admit(now, Scope{}, 5)
	}
	if _, exhausted, _ := limiter.Admit(now+time.Hour/2, Scope{}, 1); exhausted != "w" {
		t.Error("a limit of 0 admits work")
	}
}

func BenchmarkAdmit(b *testing.B) {
	limiter := NewLimiter()
	limiter.SetLimits(0, []Limit{limits(RequestRate, 1), {Name: "o", Kind: Concurrency, Amount: 1e6 * Unit, MaxHolders: 1}, {Name: "w", Kind: WorkRate, Amount: 1e6 * Unit, Burst: 1e6 * Unit, MaxHolders: 1}})
	limiter.SetShares(0, time.Hour, []Share{{"l", 40 * Unit}, {"o", 1e6 * Unit}, {"w", 1e6 * Unit}})
	b.ReportAllocs()
	for n := range b.N {
		ticket, _, _ := limiter.Admit(time.Duration(n)*time.Microsecond, Scope{Class: "c"}, 1)
		limiter.Done(&ticket, 0)
	}
}
