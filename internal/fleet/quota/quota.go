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
	RequestRate          Kind = iota // requests a second
	Concurrency                      // requests open at once
	WorkRate                         // slot-seconds a second
	RetryBudget                      // further tries: a share of first tries, and some a second beside
	PerWorkerConcurrency             // jobs open at any one worker
	WarmingShare                     // of what any one cold worker bears: 1 is all of it
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
func (k Kind) stock() bool { return k == Concurrency || k == PerWorkerConcurrency }

// Unit is one request, slot-second or whole share.
const Unit = 1_000_000

// Limit is one of the fleet.
type Limit struct {
	Name                string
	Kind                Kind
	Team, Tenant, Class string        // whom it is for; empty: all
	Amount              int64         // at once; or a second: of Retries, beside the share
	Burst               int64         // of what flows: so much at once beyond it
	RetryRatio          int64         `cbor:"Share" json:"Share"`     // of Retries: of first tries
	StaticShare         int64         `cbor:"Static" json:"Static"`   // part of Amount that is held back for those that have lost the keepers
	MaxHolders          int64         `cbor:"Holders" json:"Holders"` // how many dispatchers, with every second process of an upgrade
	ReclaimDelay        time.Duration `cbor:"Settle" json:"Settle"`   // of stocks: how long what a vanished holder had open may go on
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

// Validate names what can't be a limit, as a LimitError.
func (l *Limit) Validate() error {
	wrong := func(key string, got any, want string) error { return &LimitError{key, fmt.Sprint(got), want} }
	units := func(v int64) float64 { return float64(v) / Unit }
	switch {
	case l.Name == "":
		return wrong("name", "missing", "one that no other limit has")
	case l.Amount < 0 || l.Amount > 1e6*Unit:
		return wrong("amount", units(l.Amount), "0 to 1000000")
	case l.MaxHolders < 1 || l.MaxHolders > 100000:
		return wrong("dispatchers", l.MaxHolders, "1 to 100000")
	case l.StaticShare < 0 || l.StaticShare > Unit:
		return wrong("static", units(l.StaticShare), "0 to 1")
	case l.Kind == WarmingShare && (l.Amount > Unit || l.Burst != 0):
		return wrong("amount", units(l.Amount), "up to 1, the whole of what a cold worker bears, and no burst")
	case !l.Kind.stock() && l.Kind != WarmingShare && (l.Burst < l.MaxHolders*Unit || l.Burst > 1e6*Unit):
		return wrong("burst", units(l.Burst), fmt.Sprintf("one for each of the %d dispatchers or more, since less than one request lets none pass", l.MaxHolders))
	case l.Kind.stock() && l.Burst != 0:
		return wrong("burst", units(l.Burst), fmt.Sprintf("none for a limit of kind %v", l.Kind))
	case l.RetryRatio < 0 || l.RetryRatio > 10*Unit || l.Kind != RetryBudget && l.RetryRatio != 0:
		return wrong("share", units(l.RetryRatio), "0 to 10, for retries alone")
	case l.ReclaimDelay < 0 || l.ReclaimDelay > time.Hour:
		return wrong("settle", l.ReclaimDelay, "0s to 1h")
	case (l.Kind == PerWorkerConcurrency || l.Kind == WarmingShare) && l.Team+l.Tenant+l.Class != "":
		return wrong("team, tenant, class", l.Team+l.Tenant+l.Class, fmt.Sprintf("none for a limit of kind %v: it is for all", l.Kind))
	}
	return nil
}

// StaticPerHolder is the static share of each holder: with a part it is within it, without one it is all.
func (l *Limit) StaticPerHolder() int64 {
	own := l.Amount / Unit * l.StaticShare / l.MaxHolders // whole ones first: no product overflows
	own += l.Amount % Unit * l.StaticShare / Unit / l.MaxHolders
	if l.Kind.stock() {
		own -= own % Unit
	}
	return own
}

// MaxOvershoot is by how much the limit may be exceeded, and why, for so many dispatchers at once.
func (l *Limit) MaxOvershoot(holders int64) (over int64, why string) {
	if more := holders - l.MaxHolders; more > 0 {
		over = more * l.StaticPerHolder()
		if !l.Kind.stock() && l.Kind != WarmingShare {
			over += more * Unit
		}
		why = fmt.Sprintf("%d dispatchers beyond the stated %d, each with a static share of %v", more, l.MaxHolders, float64(l.StaticPerHolder())/Unit)
	}
	return over, why
}

// ---- the keepers' half

// Request is what a holder asks for and uses of one limit.
type Request struct {
	Limit  string
	Demand int64 `cbor:"Want"` // it could use: a second, or at once
	InUse  int64 `cbor:"Used"` // of stocks: at once, now
}

// Share is what it may use.
type Share struct {
	Limit  string
	Amount int64
}

// Allocation is a part beyond the static share, under one grant.
type Allocation struct {
	Grant uint64
	Extra int64
}

// Usage is one holder's of one limit.
type Usage struct {
	Allocations []Allocation `cbor:"Lots" json:"Lots"`
	Demand      int64        `cbor:"Want" json:"Want"` // beyond its static share
	InUse       int64        `cbor:"Used" json:"Used"` // of stocks: beyond it, when it last said so
	Outstanding int64        `cbor:"Out" json:"Out"`   // beyond it that may be in use
}

// LimitState is one limit, and who has what of it.
type LimitState struct {
	Limit       Limit
	Usages      map[string]*Usage `cbor:"Held" json:"Held"`
	Outstanding int64             `cbor:"Out" json:"Out"` // sum of the holdings'
}

// Holder is one holder.
type Holder struct {
	Leases lease.Granter   `cbor:"Grants" json:"Grants"`
	Limits map[string]bool // those of which it holds anything or wants some
}

// Allocator is all limits, and who has what of them.
type Allocator struct {
	Limits       map[string]*LimitState `cbor:"Accounts" json:"Accounts"`
	Holders      map[string]*Holder     `cbor:"Parties" json:"Parties"`
	Proportional bool                   `cbor:"Evenly" json:"Evenly"` // by proportional shares, as Doorman has them; else by max-min fair ones
	Overcommits  uint64                 `cbor:"Over" json:"Over"`     // times at which more was out than may be: it must stay 0
}

// NewAllocator makes one without limits.
func NewAllocator() *Allocator {
	return &Allocator{Limits: map[string]*LimitState{}, Holders: map[string]*Holder{}}
}

// InitMaps makes what a snapshot leaves out where it is empty.
func (b *Allocator) InitMaps() {
	if b.Limits == nil {
		b.Limits = map[string]*LimitState{}
	}
	if b.Holders == nil {
		b.Holders = map[string]*Holder{}
	}
	for _, a := range b.Limits {
		if a.Usages == nil {
			a.Usages = map[string]*Usage{}
		}
	}
	for _, p := range b.Holders {
		if p.Limits == nil {
			p.Limits = map[string]bool{}
		}
	}
}

// SetLimits puts these limits in the place of all that were. What is out of one that stays goes on
// counting; of one whose kind is another, or that is gone, nothing does.
func (b *Allocator) SetLimits(limits []Limit) {
	next := map[string]*LimitState{}
	for _, l := range limits {
		a := b.Limits[l.Name]
		if a == nil || a.Limit.Kind != l.Kind {
			a = &LimitState{Usages: map[string]*Usage{}}
		}
		a.Limit = l
		next[l.Name] = a
	}
	b.Limits = next
	for _, p := range b.Holders {
		maps.DeleteFunc(p.Limits, func(name string, _ bool) bool { return b.Limits[name] == nil })
	}
}

// Allocate gives a holder its parts under a new grant. heard is the latest grant that it goes by: what
// came before is in use no more. Limits that it does not name it wants nothing of.
func (b *Allocator) Allocate(who string, no, heard uint64, wants []Request) (parts []Share) {
	if len(b.Limits) == 0 {
		return nil
	}
	p := b.Holders[who]
	if p == nil {
		p = &Holder{Limits: map[string]bool{}}
		b.Holders[who] = p
	}
	p.Leases.Grant(no, heard)
	named := map[string]Request{}
	for _, w := range wants {
		if b.Limits[w.Limit] != nil {
			named[w.Limit] = w
			p.Limits[w.Limit] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.Limits)) {
		a, w := b.Limits[name], named[name]
		h := a.Usages[who]
		if h == nil {
			h = &Usage{}
			a.Usages[who] = h
		}
		own := a.Limit.StaticPerHolder()
		was := h.Outstanding
		h.Demand = min(max(w.Demand, 0), a.Limit.Amount) - own // whatever it says
		h.Demand = max(h.Demand, 0)
		h.Allocations = slices.DeleteFunc(h.Allocations, func(l Allocation) bool { return l.Grant < heard })
		if a.Limit.Kind.stock() {
			// What was admitted under a greater part is still open. No more than that can be.
			h.InUse = min(max(w.InUse-own, 0), was)
		}
		h.Outstanding = h.InUse
		for _, l := range h.Allocations {
			h.Outstanding = max(h.Outstanding, l.Extra)
		}
		a.Outstanding += h.Outstanding - was
		free := a.Limit.Amount - own*max(a.Limit.MaxHolders, int64(len(b.Holders))) - (a.Outstanding - h.Outstanding)
		extra := b.share(a, who)
		if a.Limit.Kind.stock() { // rounded up, so that no whole one is left over: who comes last gets less
			extra += Unit - 1
		}
		if extra = min(extra, max(free, 0)); a.Limit.Kind.stock() {
			extra -= extra % Unit
		}
		h.Allocations = append(h.Allocations, Allocation{no, extra})
		a.Outstanding += max(h.Outstanding, extra) - h.Outstanding
		h.Outstanding = max(h.Outstanding, extra)
		if extra > 0 && a.Outstanding > a.Limit.Amount-own*a.Limit.MaxHolders {
			b.Overcommits++
		}
		if _, ok := named[name]; ok {
			parts = append(parts, Share{name, own + extra})
		} else if h.Outstanding == 0 && h.Demand == 0 {
			delete(a.Usages, who)
			delete(p.Limits, name)
		}
	}
	return parts
}

// settle works out anew what a holder may have in use.
func (b *Allocator) settle(a *LimitState, who string) {
	h := a.Usages[who]
	out := h.InUse
	for _, l := range h.Allocations {
		out = max(out, l.Extra)
	}
	a.Outstanding += out - h.Outstanding
	if h.Outstanding = out; out == 0 && h.Demand == 0 {
		delete(a.Usages, who)
	}
}

// StartExpiry notes that a grant counts, until then.
func (b *Allocator) StartExpiry(who string, no uint64, until time.Duration) {
	if p := b.Holders[who]; p != nil {
		p.Leases.StartExpiry(no, until)
	}
}

// Release notes that a holder admits nothing any more, by its own word.
func (b *Allocator) Release(who string, now time.Duration) {
	if p := b.Holders[who]; p != nil {
		p.Leases.Release(now)
		b.pass(who, p, now)
	}
}

// Advance notes that it is so late: what was given and is over comes back.
func (b *Allocator) Advance(now time.Duration) {
	for _, who := range slices.Sorted(maps.Keys(b.Holders)) {
		b.pass(who, b.Holders[who], now)
	}
}

func (b *Allocator) pass(who string, p *Holder, now time.Duration) {
	first := p.Leases.OldestActive(now)
	if first == 0 {
		return // the oldest holds, and so do all
	}
	waits := false
	for name := range p.Limits { // each by itself: the order does not show
		a := b.Limits[name]
		h := a.Usages[who]
		if h == nil {
			continue
		}
		h.Allocations = slices.DeleteFunc(h.Allocations, func(l Allocation) bool {
			g, over, ok := p.Leases.Expired(l.Grant, now)
			if over && a.Limit.Kind.stock() && g.Expiry+a.Limit.ReclaimDelay > now && l.Extra > 0 {
				waits = true
				return false
			}
			return over || !ok
		})
		if first < 0 {
			h.Demand = 0
			if last := p.Leases.LatestExpiry(); h.InUse > 0 && last+a.Limit.ReclaimDelay > now {
				waits = true
			} else {
				h.InUse = 0
			}
		}
		b.settle(a, who)
	}
	if waits {
		return
	}
	if first < 0 {
		delete(b.Holders, who)
		return
	}
	p.Leases.DropOldest(first)
}

// share is what a holder is to have beyond its static share, by what all want.
func (b *Allocator) share(a *LimitState, who string) int64 {
	pool := max(a.Limit.Amount-a.Limit.StaticPerHolder()*a.Limit.MaxHolders, 0)
	wants := make([]int64, 0, len(a.Usages))
	for _, h := range a.Usages {
		if h.Demand > 0 {
			wants = append(wants, h.Demand)
		}
	}
	if mine := a.Usages[who].Demand; mine > 0 && b.Proportional {
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
