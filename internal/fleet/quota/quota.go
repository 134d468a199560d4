// Package quota is limits of a whole fleet: requests a second, requests open at once, work a
// second, retries as a share of first tries, and jobs open at any one worker. The keepers'
// half, a Book, hands each limit out in parts, each for the length of a lease; a dispatcher's
// half, a Desk, admits by its part and waits for nobody.
//
// What holds at every moment: the parts that may still be in use, and the static shares of those
// that hold none, come to no more than the limit. A part that is made smaller counts in full until
// its holder has said that it heard, one whose lease may not be over counts, and what a vanished
// holder had open counts until it must have ended. Amounts are whole millionths, so that nothing
// drifts however long it runs.
//
// It has no clock, draw or I/O, and must never make anybody wait.
package quota

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"yardflow/internal/fleet/lease"
)

// Kind is what a limit counts.
type Kind uint8

// The kinds.
const (
	Rate     Kind = iota // requests a second
	Open                 // requests open at once
	Work                 // slot-seconds a second
	Retries              // further tries: a share of first tries, and some a second beside
	AtWorker             // jobs open at any one worker
	Cold                 // of what any one cold worker bears: 1 is all of it
)

var kinds = []string{"rate", "open", "work", "retries", "at-worker", "cold"}

// ParseKind reads a kind by its name in the operators' files.
func ParseKind(s string) (Kind, error) {
	if i := slices.Index(kinds, s); i >= 0 {
		return Kind(i), nil
	}
	return 0, &LimitError{"kind", strconv.Quote(s), fmt.Sprintf("one of %q", kinds)}
}

func (k Kind) String() string { return kinds[min(int(k), len(kinds)-1)] }

// stock tells that what is limited is held and given back, in whole numbers; else it flows.
func (k Kind) stock() bool { return k == Open || k == AtWorker }

// One is one request, slot-second or whole share.
const One = 1_000_000

// Limit is one of the fleet.
type Limit struct {
	Name                string
	Kind                Kind
	Team, Tenant, Class string        // whom it is for; empty: all
	Amount              int64         // at once; or a second: of Retries, beside the share
	Burst               int64         // of what flows: so much at once beyond it
	Share               int64         // of Retries: of first tries
	Static              int64         // part of Amount that is held back for those that have lost the keepers
	Holders             int64         // how many dispatchers, with every second process of an upgrade
	Settle              time.Duration // of stocks: how long what a vanished holder had open may go on
}

// LimitError names what can't be a limit.
type LimitError struct{ Key, Got, Want string }

func (e *LimitError) Error() string { return e.Key + ": " + e.Got + "; expected " + e.Want }

// Code is its word in the operators' table.
func (e *LimitError) Code() string { return "limit" }

// Advice is what an operator can do.
func (e *LimitError) Advice() string {
	return "correct the key in the policy's [[limit]] and propose it again; what is in force stays"
}

// Check names what can't be a limit, as a LimitError.
func (l *Limit) Check() error {
	wrong := func(key string, got any, want string) error { return &LimitError{key, fmt.Sprint(got), want} }
	units := func(v int64) float64 { return float64(v) / One }
	switch {
	case l.Name == "":
		return wrong("name", "missing", "one that no other limit has")
	case l.Amount < 0 || l.Amount > 1e6*One:
		return wrong("amount", units(l.Amount), "0 to 1000000")
	case l.Holders < 1 || l.Holders > 100000:
		return wrong("dispatchers", l.Holders, "1 to 100000")
	case l.Static < 0 || l.Static > One:
		return wrong("static", units(l.Static), "0 to 1")
	case l.Kind == Cold && (l.Amount > One || l.Burst != 0):
		return wrong("amount", units(l.Amount), "up to 1, the whole of what a cold worker bears, and no burst")
	case !l.Kind.stock() && l.Kind != Cold && (l.Burst < l.Holders*One || l.Burst > 1e6*One):
		return wrong("burst", units(l.Burst), fmt.Sprintf("one for each of the %d dispatchers or more, since less than one request lets none pass", l.Holders))
	case l.Kind.stock() && l.Burst != 0:
		return wrong("burst", units(l.Burst), fmt.Sprintf("none for a limit of kind %v", l.Kind))
	case l.Share < 0 || l.Share > 10*One || l.Kind != Retries && l.Share != 0:
		return wrong("share", units(l.Share), "0 to 10, for retries alone")
	case l.Settle < 0 || l.Settle > time.Hour:
		return wrong("settle", l.Settle, "0s to 1h")
	case (l.Kind == AtWorker || l.Kind == Cold) && l.Team+l.Tenant+l.Class != "":
		return wrong("team, tenant, class", l.Team+l.Tenant+l.Class, fmt.Sprintf("none for a limit of kind %v: it is for all", l.Kind))
	}
	return nil
}

// Own is the static share of each holder: with a part it is within it, without one it is all.
func (l *Limit) Own() int64 {
	own := l.Amount / One * l.Static / l.Holders // whole ones first: no product overflows
	own += l.Amount % One * l.Static / One / l.Holders
	if l.Kind.stock() {
		own -= own % One
	}
	return own
}

// Bound is by how much the limit may be exceeded, and why, for so many dispatchers at once.
func (l *Limit) Bound(holders int64) (over int64, why string) {
	if more := holders - l.Holders; more > 0 {
		over = more * l.Own()
		if !l.Kind.stock() && l.Kind != Cold {
			over += more * One
		}
		why = fmt.Sprintf("%d dispatchers beyond the stated %d, each with a static share of %v", more, l.Holders, float64(l.Own())/One)
	}
	return over, why
}

// ---- the keepers' half

// Want is what a holder asks for and uses of one limit.
type Want struct {
	Limit string
	Want  int64 // it could use: a second, or at once
	Used  int64 // of stocks: at once, now
}

// Part is what it may use.
type Part struct {
	Limit  string
	Amount int64
}

// Lot is a part beyond the static share, under one grant.
type Lot struct {
	Grant uint64
	Extra int64
}

// Holding is one holder's of one limit.
type Holding struct {
	Lots []Lot
	Want int64 // beyond its static share
	Used int64 // of stocks: beyond it, when it last said so
	Out  int64 // beyond it that may be in use
}

// Account is one limit, and who has what of it.
type Account struct {
	Limit Limit
	Held  map[string]*Holding
	Out   int64 // sum of the holdings'
}

// Party is one holder.
type Party struct {
	Grants lease.Leases
	Limits map[string]bool // those of which it holds anything or wants some
}

// Book is all limits, and who has what of them.
type Book struct {
	Accounts map[string]*Account
	Parties  map[string]*Party
	Evenly   bool   // by proportional shares, as Doorman has them; else by max-min fair ones
	Over     uint64 // times at which more was out than may be: it must stay 0
}

// NewBook makes one without limits.
func NewBook() *Book { return &Book{Accounts: map[string]*Account{}, Parties: map[string]*Party{}} }

// Mend makes what a snapshot leaves out where it is empty.
func (b *Book) Mend() {
	if b.Accounts == nil {
		b.Accounts = map[string]*Account{}
	}
	if b.Parties == nil {
		b.Parties = map[string]*Party{}
	}
	for _, a := range b.Accounts {
		if a.Held == nil {
			a.Held = map[string]*Holding{}
		}
	}
	for _, p := range b.Parties {
		if p.Limits == nil {
			p.Limits = map[string]bool{}
		}
	}
}

// Set puts these limits in the place of all that were. What is out of one that stays goes on
// counting; of one whose kind is another, or that is gone, nothing does.
func (b *Book) Set(limits []Limit) {
	next := map[string]*Account{}
	for _, l := range limits {
		a := b.Accounts[l.Name]
		if a == nil || a.Limit.Kind != l.Kind {
			a = &Account{Held: map[string]*Holding{}}
		}
		a.Limit = l
		next[l.Name] = a
	}
	b.Accounts = next
	for _, p := range b.Parties {
		maps.DeleteFunc(p.Limits, func(name string, _ bool) bool { return b.Accounts[name] == nil })
	}
}

// Ask gives a holder its parts under a new grant. heard is the latest grant that it goes by: what
// came before is in use no more. Limits that it does not name it wants nothing of.
func (b *Book) Ask(who string, no, heard uint64, wants []Want) (parts []Part) {
	if len(b.Accounts) == 0 {
		return nil
	}
	p := b.Parties[who]
	if p == nil {
		p = &Party{Limits: map[string]bool{}}
		b.Parties[who] = p
	}
	p.Grants.Give(no, heard)
	named := map[string]Want{}
	for _, w := range wants {
		if b.Accounts[w.Limit] != nil {
			named[w.Limit] = w
			p.Limits[w.Limit] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.Limits)) {
		a, w := b.Accounts[name], named[name]
		h := a.Held[who]
		if h == nil {
			h = &Holding{}
			a.Held[who] = h
		}
		own := a.Limit.Own()
		was := h.Out
		h.Want = min(max(w.Want, 0), a.Limit.Amount) - own // whatever it says
		h.Want = max(h.Want, 0)
		h.Lots = slices.DeleteFunc(h.Lots, func(l Lot) bool { return l.Grant < heard })
		if a.Limit.Kind.stock() {
			// What was admitted under a greater part is still open. No more than that can be.
			h.Used = min(max(w.Used-own, 0), was)
		}
		h.Out = h.Used
		for _, l := range h.Lots {
			h.Out = max(h.Out, l.Extra)
		}
		a.Out += h.Out - was
		free := a.Limit.Amount - own*max(a.Limit.Holders, int64(len(b.Parties))) - (a.Out - h.Out)
		extra := b.share(a, who)
		if a.Limit.Kind.stock() { // rounded up, so that no whole one is left over: who comes last gets less
			extra += One - 1
		}
		if extra = min(extra, max(free, 0)); a.Limit.Kind.stock() {
			extra -= extra % One
		}
		h.Lots = append(h.Lots, Lot{no, extra})
		a.Out += max(h.Out, extra) - h.Out
		h.Out = max(h.Out, extra)
		if extra > 0 && a.Out > a.Limit.Amount-own*a.Limit.Holders {
			b.Over++
		}
		if _, ok := named[name]; ok {
			parts = append(parts, Part{name, own + extra})
		} else if h.Out == 0 && h.Want == 0 {
			delete(a.Held, who)
			delete(p.Limits, name)
		}
	}
	return parts
}

// settle works out anew what a holder may have in use.
func (b *Book) settle(a *Account, who string) {
	h := a.Held[who]
	out := h.Used
	for _, l := range h.Lots {
		out = max(out, l.Extra)
	}
	a.Out += out - h.Out
	if h.Out = out; out == 0 && h.Want == 0 {
		delete(a.Held, who)
	}
}

// Counted notes that a grant counts, until then.
func (b *Book) Counted(who string, no uint64, until time.Duration) {
	if p := b.Parties[who]; p != nil {
		p.Grants.Counted(no, until)
	}
}

// End notes that a holder admits nothing any more, by its own word.
func (b *Book) End(who string, now time.Duration) {
	if p := b.Parties[who]; p != nil {
		p.Grants.End(now)
		b.pass(who, p, now)
	}
}

// Pass notes that it is so late: what was given and is over comes back.
func (b *Book) Pass(now time.Duration) {
	for _, who := range slices.Sorted(maps.Keys(b.Parties)) {
		b.pass(who, b.Parties[who], now)
	}
}

func (b *Book) pass(who string, p *Party, now time.Duration) {
	first := p.Grants.Oldest(now)
	if first == 0 {
		return // the oldest holds, and so do all
	}
	waits := false
	for name := range p.Limits { // each by itself: the order does not show
		a := b.Accounts[name]
		h := a.Held[who]
		if h == nil {
			continue
		}
		h.Lots = slices.DeleteFunc(h.Lots, func(l Lot) bool {
			g, over, ok := p.Grants.Over(l.Grant, now)
			if over && a.Limit.Kind.stock() && g.Until+a.Limit.Settle > now && l.Extra > 0 {
				waits = true
				return false
			}
			return over || !ok
		})
		if first < 0 {
			h.Want = 0
			if last := p.Grants.Last(); h.Used > 0 && last+a.Limit.Settle > now {
				waits = true
			} else {
				h.Used = 0
			}
		}
		b.settle(a, who)
	}
	if waits {
		return
	}
	if first < 0 {
		delete(b.Parties, who)
		return
	}
	p.Grants.Drop(first)
}

// share is what a holder is to have beyond its static share, by what all want.
func (b *Book) share(a *Account, who string) int64 {
	pool := max(a.Limit.Amount-a.Limit.Own()*a.Limit.Holders, 0)
	wants := make([]int64, 0, len(a.Held))
	for _, h := range a.Held {
		if h.Want > 0 {
			wants = append(wants, h.Want)
		}
	}
	if mine := a.Held[who].Want; mine > 0 && b.Evenly {
		return proportional(pool, wants, mine)
	} else if mine > 0 {
		return fair(pool, wants, mine)
	}
	return 0
}

// spare is what each gets beyond its wants, where all are met: a little room to grow.
func spare(pool, sum int64, n int) int64 { return (pool - sum) / int64(n) }

// fair is the max-min fair share: nobody who wants less than an even part is kept from it, and
// those who want more have alike.
func fair(pool int64, wants []int64, mine int64) int64 {
	sum := int64(0)
	for _, w := range wants {
		sum += w
	}
	if sum <= pool {
		return mine + spare(pool, sum, len(wants))
	}
	slices.SortFunc(wants, cmp.Compare)
	for i, w := range wants {
		if level := pool / int64(len(wants)-i); w >= level {
			return min(mine, level)
		}
		pool -= w
	}
	return mine
}

// proportional gives each an even part or what it wants of it, and shares out what is left by how
// much more the others want.
func proportional(pool int64, wants []int64, mine int64) int64 {
	sum := int64(0)
	for _, w := range wants {
		sum += w
	}
	if sum <= pool {
		return mine + spare(pool, sum, len(wants))
	}
	even := pool / int64(len(wants))
	if mine <= even {
		return mine
	}
	left, more := int64(0), int64(0)
	for _, w := range wants {
		left += max(even-w, 0)
		more += max(w-even, 0)
	}
	return even + int64(float64(left)*(float64(mine-even)/float64(more)))
}
