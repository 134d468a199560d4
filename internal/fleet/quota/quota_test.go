package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// world is a book and some desks, with messages that are late or lost, and holders that crash.
// It counts what is really admitted, by itself.
type world struct {
	now    time.Duration
	b      *Allocator
	l      Limit
	grants uint64
	side   []*holder
	lives  int
	level  float64 // of what flowed, above the amount
	jobs   []job
	early  bool // the keepers take leases to be over too soon
}

type holder struct {
	name   string
	d      *Limiter
	heard  uint64
	asked  time.Duration
	answer []Share
	grant  uint64 // of the answer on its way; 0: there is none
}

type job struct {
	h    *holder
	t    Ticket
	ends time.Duration
	gone bool // its dispatcher crashed: it runs on
}

const leaseTime = time.Second

func newWorld(l Limit, holders int, evenly bool) *world {
	w := &world{b: NewAllocator(), l: l}
	w.b.Proportional = evenly
	w.b.SetLimits([]Limit{l})
	for range holders {
		w.side = append(w.side, w.life())
	}
	return w
}

func (w *world) life() *holder {
	w.lives++
	h := &holder{name: fmt.Sprint("h", w.lives), d: NewLimiter()}
	h.d.SetLimits(w.now, []Limit{w.l})
	return h
}

func (w *world) pass(d time.Duration) {
	w.now += d
	until := w.now + leaseTime
	if w.early {
		until -= leaseTime / 2
	}
	for who := range w.b.Holders {
		w.b.StartExpiry(who, w.grants, until)
	}
	w.b.Advance(w.now)
	w.level = max(w.level-float64(w.l.Amount)*d.Seconds(), 0)
	kept := w.jobs[:0]
	for _, j := range w.jobs {
		if j.ends > w.now {
			kept = append(kept, j)
		} else if !j.gone {
			j.h.d.Done(&j.t, 100*time.Millisecond)
		}
	}
	w.jobs = kept
}

// ask has a holder's call reach the book; its answer is on its way then.
func (w *world) ask(h *holder, heard uint64) {
	w.grants++
	h.asked, h.grant = w.now, w.grants
	h.answer = w.b.Allocate(h.name, h.grant, heard, h.d.Requests(w.now))
}

// hear has the answer arrive.
func (w *world) hear(h *holder, until time.Duration) {
	if h.grant != 0 {
		h.d.SetShares(w.now, until, h.answer)
		h.heard, h.grant = h.grant, 0
	}
}

// admit tries so many requests, and returns what was let in.
func (w *world) admit(h *holder, tries int, lasts time.Duration) (in int) {
	for range tries {
		if t, short, _ := h.d.Admit(w.now, Scope{}, 1); short == "" {
			in++
			w.level += Unit
			w.jobs = append(w.jobs, job{h: h, t: t, ends: w.now + lasts})
		}
	}
	return in
}

// check returns what is wrong.
func (w *world) check() string {
	if w.l.Kind == Concurrency {
		if open := int64(len(w.jobs)) * Unit; open > w.l.Amount {
			return fmt.Sprintf("%d open of %d", open/Unit, w.l.Amount/Unit)
		}
	} else if w.level > float64(w.l.Burst)+1 {
		return fmt.Sprintf("%.3f at once beyond the rate, of %d", w.level/Unit, w.l.Burst/Unit)
	}
	if w.b.Overcommits != 0 {
		return "more is out than may be"
	}
	return ""
}

func limits(kind Kind, holders int64) Limit {
	l := Limit{Name: "l", Kind: kind, Amount: 40 * Unit, StaticShare: Unit / 4, MaxHolders: holders, ReclaimDelay: 2 * time.Second}
	if !kind.stock() {
		l.Burst = 30 * Unit
	}
	return l
}

// fault is a mistake planted on purpose, in what surrounds the book and the desks.
type fault string

const (
	none       fault = ""
	forever    fault = "parts hold on after their lease"
	fromAnswer fault = "a lease counts from its answer"
	atOnce     fault = "what came before is taken to be in use no more once another part is given"
	noSettle   fault = "what a vanished holder had open is taken to have ended"
	tooSoon    fault = "a lease is over at the keepers before it is at its holder"
)

// walk has everybody admit all they can, through calls that are late or lost, cuts, crashes and
// changes of the limit, and returns what is wrong.
func walk(seed uint64, kind Kind, f fault) string {
	rnd := rand.New(rand.NewPCG(seed, 11))
	l := limits(kind, 12) // a crashed one's static share counts while its jobs may run: each life is a holder
	if f == noSettle {
		l.ReclaimDelay = 0
	}
	w := newWorld(l, 5, seed%2 == 0)
	w.early = f == tooSoon
	cut := map[*holder]time.Duration{}
	for range 400 {
		w.pass(time.Duration(1+rnd.IntN(120)) * time.Millisecond)
		for _, h := range w.side {
			busy := rnd.IntN(3) > 0
			if busy {
				w.admit(h, 1+rnd.IntN(60), time.Duration(1+rnd.IntN(1900))*time.Millisecond)
			}
			switch n := rnd.IntN(40); {
			case cut[h] > w.now:
				continue
			case n == 0:
				cut[h] = w.now + time.Duration(rnd.IntN(4000))*time.Millisecond
			case n == 1 && w.lives < 12:
				for i := range w.jobs {
					w.jobs[i].gone = w.jobs[i].gone || w.jobs[i].h == h
				}
				*h = *w.life()
			case n == 2:
				h.grant = 0 // the answer is lost
			case n < 20:
				if h.grant == 0 {
					heard := h.heard
					if f == atOnce {
						heard = w.grants + 1
					}
					w.ask(h, heard)
				}
			case h.grant != 0:
				until := h.asked + leaseTime*98/100
				if f == forever {
					until = 1 << 60
				} else if f == fromAnswer {
					until = w.now + leaseTime*98/100
				}
				w.hear(h, until)
			}
		}
		if wrong := w.check(); wrong != "" {
			return fmt.Sprintf("seed %d at %v: %s", seed, w.now, wrong)
		}
	}
	return ""
}

// Whatever comes late or is lost, and whoever crashes, stands still or is cut off: what is let in
// by all never exceeds the limit by as much as one request. Each planted fault is found.
func TestNeverOver(t *testing.T) {
	t.Parallel()
	for _, kind := range []Kind{RequestRate, Concurrency} {
		for seed := range uint64(150) {
			if wrong := walk(seed, kind, none); wrong != "" {
				t.Fatalf("%v: %s", kind, wrong)
			}
		}
	}
	for _, f := range []fault{forever, fromAnswer, atOnce, noSettle, tooSoon} {
		found := false
		for seed := uint64(0); seed < 150 && !found; seed++ {
			found = walk(seed, Concurrency, f) != "" || walk(seed, RequestRate, f) != ""
		}
		if !found {
			t.Errorf("not found: %s", f)
		}
	}
}

// Demand moves from one holder to all others: within two leases 95% of the limit is used again,
// by either way of sharing it out.
func TestPartsFollowDemand(t *testing.T) {
	for _, evenly := range []bool{false, true} {
		for _, kind := range []Kind{RequestRate, Concurrency} {
			w := newWorld(limits(kind, 8), 8, evenly)
			used := func(busy []*holder, span time.Duration) (share float64) {
				in, n := 0, 0
				for end := w.now + span; w.now < end; n++ {
					for _, h := range busy {
						in += w.admit(h, 80/len(busy), 95*time.Millisecond)
					}
					for i, h := range w.side {
						if n%3 == i%3 { // three calls a lease
							w.ask(h, h.heard)
							w.hear(h, w.now+leaseTime)
						}
					}
					w.pass(100 * time.Millisecond)
					if wrong := w.check(); wrong != "" {
						t.Fatalf("%v: %s", kind, wrong)
					}
				}
				if kind == Concurrency {
					return float64(in) / float64(n) / 40
				}
				return float64(in) / span.Seconds() / 40
			}
			used(w.side[:1], 2*leaseTime)
			if got := used(w.side[:1], 2*leaseTime); got < 0.75 { // the static shares of the others stay theirs
				t.Errorf("%v, evenly %t: one uses %.2f", kind, evenly, got)
			}
			used(w.side[1:], 2*leaseTime)
			if got := used(w.side[1:], 2*leaseTime); got < 0.95 {
				t.Errorf("%v, evenly %t: %.2f used two leases after demand has moved", kind, evenly, got)
			}
		}
	}
}

// What a holder says that can't be true costs the others nothing, and what it wants may be all.
func TestNonsense(t *testing.T) {
	b := NewAllocator()
	b.SetLimits([]Limit{limits(Concurrency, 4)})
	for n, w := range []Request{{"l", -1 << 60, -1 << 60}, {"l", 1<<63 - 1, 1<<63 - 1}, {"none", 5, 5}} {
		b.Allocate("liar", uint64(n+1), uint64(n), []Request{w})
	}
	got := b.Allocate("other", 9, 0, []Request{{"l", 10 * Unit, 0}})
	if len(got) != 1 || got[0].Amount < 2*Unit || b.Overcommits != 0 {
		t.Errorf("%+v beside one that says nonsense; over %d times", got, b.Overcommits)
	}
}

// A job dearer than all that may be saved up passes, and is paid back; a retry is a share of the
// first tries; a limit of 0 lets nothing pass, and one that is halved goes by what is out.
func TestKinds(t *testing.T) {
	d := NewLimiter()
	work := Limit{Name: "w", Kind: WorkRate, Amount: Unit, Burst: 2 * Unit, MaxHolders: 1}
	retries := Limit{Name: "r", Kind: RetryBudget, RetryRatio: Unit / 4, Burst: Unit, MaxHolders: 1}
	d.SetLimits(0, []Limit{work, retries})
	d.SetShares(0, time.Hour, []Share{{"w", Unit}})
	now := 10 * time.Second
	ticket, short, _ := d.Admit(now, Scope{}, 20) // 20 slots at 0.2 s reckoned
	if short != "" {
		t.Fatal("a dear job never passes")
	}
	d.Done(&ticket, 500*time.Millisecond) // it took 10 slot-seconds, and 8 are owed
	if _, short, wait := d.Admit(now+5*time.Second, Scope{}, 1); short != "w" || wait <= 0 {
		t.Errorf("what is owed is not: %q, %v", short, wait)
	}
	now += 20 * time.Second
	tries, retried := 0, 0
	for range 40 {
		now += time.Second
		ticket, short, _ := d.Admit(now, Scope{}, 1)
		if short != "" {
			t.Fatal(short)
		}
		tries++
		if d.TakeRetry(now, &ticket) {
			retried++
		}
		d.Done(&ticket, time.Millisecond)
	}
	if retried < tries/4-1 || retried > tries/4+1 {
		t.Errorf("%d retries of %d first tries, want a quarter", retried, tries)
	}
	d.SetLimits(now, []Limit{{Name: "w", Kind: WorkRate, Burst: Unit, MaxHolders: 1}})
	d.SetShares(now, now+time.Hour, nil)
	for short = ""; short == ""; { // what was saved up
		_, short, _ = d.Admit(now, Scope{}, 5)
	}
	if _, short, _ := d.Admit(now+time.Hour/2, Scope{}, 1); short != "w" {
		t.Error("a limit of 0 lets work pass")
	}
}

func BenchmarkAdmit(b *testing.B) {
	d := NewLimiter()
	d.SetLimits(0, []Limit{limits(RequestRate, 1), {Name: "o", Kind: Concurrency, Amount: 1e6 * Unit, MaxHolders: 1}, {Name: "w", Kind: WorkRate, Amount: 1e6 * Unit, Burst: 1e6 * Unit, MaxHolders: 1}})
	d.SetShares(0, time.Hour, []Share{{"l", 40 * Unit}, {"o", 1e6 * Unit}, {"w", 1e6 * Unit}})
	b.ReportAllocs()
	for n := range b.N {
		t, _, _ := d.Admit(time.Duration(n)*time.Microsecond, Scope{Class: "c"}, 1)
		d.Done(&t, 0)
	}
}
