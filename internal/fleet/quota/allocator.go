package quota

import (
	"maps"
	"slices"

	"yardflow/coordination/lease"
)

// Request is what a holder asks for of one limit, and what it uses.
type Request struct {
	Limit  string // its name
	Demand int64  `cbor:"Want"` // what it could use, a second or at once
	InUse  int64  `cbor:"Used"` // of concurrency: open now
}

// Share is how much of one limit a holder may use, its static share included.
type Share struct {
	Limit  string // its name
	Amount int64
}

// Allocation is what a lease gives a holder of one limit.
type Allocation struct {
	Grant uint64 // the number of the lease
	Extra int64  // beyond the holder's static share
}

// Usage is what one holder has of one limit. All amounts are beyond its static share.
type Usage struct {
	Allocations []Allocation `cbor:"Lots" json:"Lots"` // of leases that it may still act under, the oldest first
	Demand      int64        `cbor:"Want" json:"Want"`
	InUse       int64        `cbor:"Used" json:"Used"` // of concurrency: open when it last said so
	Outstanding int64        `cbor:"Out" json:"Out"`   // the most that may be in use: the greatest of the above
}

// mayBeInUse is the most that the holder may use beyond its static share: under any lease that it may still act under,
// or by what it has open from an earlier one.
func (u *Usage) mayBeInUse() int64 {
	most := u.InUse
	for _, a := range u.Allocations {
		most = max(most, a.Extra)
	}
	return most
}

// LimitState is one limit, and who has what of it.
type LimitState struct {
	Limit       Limit
	Usages      map[string]*Usage `cbor:"Held" json:"Held"` // by holder
	Outstanding int64             `cbor:"Out" json:"Out"`   // the sum of the usages'
}

// setOutstanding changes what a holder may have in use, and the sum with it.
func (s *LimitState) setOutstanding(u *Usage, outstanding int64) {
	s.Outstanding += outstanding - u.Outstanding
	u.Outstanding = outstanding
}

// Holder is a dispatcher's incarnation to which shares were given.
type Holder struct {
	Leases lease.Granter   `cbor:"Grants" json:"Grants"`
	Limits map[string]bool // the names of those of which it has or wants some
}

// Allocator is the coordinators' half: all limits, and who has what of them. It is a part of their replicated state, so
// the same calls give the same state everywhere.
type Allocator struct {
	Limits       map[string]*LimitState `cbor:"Accounts" json:"Accounts"`
	Holders      map[string]*Holder     `cbor:"Parties" json:"Parties"`
	Proportional bool                   `cbor:"Evenly" json:"Evenly"` // divides by proportionalShare; else by maxMinFairShare
	Overcommits  uint64                 `cbor:"Over" json:"Over"`     // how often more was handed out than the invariant allows: it stays 0
}

// NewAllocator returns an allocator without limits.
func NewAllocator() *Allocator {
	return &Allocator{Limits: map[string]*LimitState{}, Holders: map[string]*Holder{}}
}

// InitMaps makes the maps that a snapshot left out because they were empty.
func (a *Allocator) InitMaps() {
	if a.Limits == nil {
		a.Limits = map[string]*LimitState{}
	}
	if a.Holders == nil {
		a.Holders = map[string]*Holder{}
	}
	for _, state := range a.Limits {
		if state.Usages == nil {
			state.Usages = map[string]*Usage{}
		}
	}
	for _, holder := range a.Holders {
		if holder.Limits == nil {
			holder.Limits = map[string]bool{}
		}
	}
}

// SetLimits replaces all limits. What is outstanding of a limit that stays goes on counting; of one that changed its kind
// or is removed, nothing does.
func (a *Allocator) SetLimits(limits []Limit) {
	next := map[string]*LimitState{}
	for _, limit := range limits {
		state := a.Limits[limit.Name]
		if state == nil || state.Limit.Kind != limit.Kind {
			state = &LimitState{Usages: map[string]*Usage{}}
		}
		state.Limit = limit
		next[limit.Name] = state
	}
	a.Limits = next
	for _, holder := range a.Holders {
		maps.DeleteFunc(holder.Limits, func(name string, _ bool) bool { return a.Limits[name] == nil })
	}
}

// Allocate gives a holder its shares under a lease with a number that is greater than all before. acknowledged is the
// number of the latest lease that the holder acts under: earlier ones are in use no more. Of limits that it does not
// request it wants nothing; shares are those of the limits that it does, by name.
func (a *Allocator) Allocate(holderName string, number, acknowledged uint64, requests []Request) (shares []Share) {
	if len(a.Limits) == 0 {
		return nil
	}
	holder := a.Holders[holderName]
	if holder == nil {
		holder = &Holder{Limits: map[string]bool{}}
		a.Holders[holderName] = holder
	}
	holder.Leases.Grant(number, acknowledged)
	requested := map[string]Request{}
	for _, r := range requests {
		if a.Limits[r.Limit] != nil {
			requested[r.Limit] = r
			holder.Limits[r.Limit] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(holder.Limits)) {
		state := a.Limits[name]
		usage := state.Usages[holderName]
		if usage == nil {
			usage = &Usage{}
			state.Usages[holderName] = usage
		}
		request, ok := requested[name]
		state.update(usage, request, acknowledged)
		extra := a.extraShare(state, usage)
		a.handOut(state, usage, Allocation{number, extra})
		if ok {
			shares = append(shares, Share{name, state.Limit.StaticPerHolder() + extra})
		} else if usage.Outstanding == 0 && usage.Demand == 0 {
			delete(state.Usages, holderName)
			delete(holder.Limits, name)
		}
	}
	return shares
}

// update takes in what a holder says of one limit. Whatever it claims, its demand is at most the limit, and what it
// says it has open is at most what it could have opened.
func (s *LimitState) update(usage *Usage, request Request, acknowledged uint64) {
	static := s.Limit.StaticPerHolder()
	usage.Demand = max(min(max(request.Demand, 0), s.Limit.Amount)-static, 0)
	usage.Allocations = slices.DeleteFunc(usage.Allocations, func(l Allocation) bool { return l.Grant < acknowledged })
	if s.Limit.Kind.countsConcurrency() {
		// What was admitted under a greater share is still open.
		usage.InUse = min(max(request.InUse-static, 0), usage.Outstanding)
	}
	s.setOutstanding(usage, usage.mayBeInUse())
}

// extraShare is what a holder is to have of a limit beyond its static share: by its demand among those of all, and no
// more than is free.
func (a *Allocator) extraShare(state *LimitState, usage *Usage) int64 {
	limit := &state.Limit
	static := limit.StaticPerHolder()
	ofOthers := state.Outstanding - usage.Outstanding
	free := limit.Amount - static*max(limit.MaxHolders, int64(len(a.Holders))) - ofOthers
	extra := a.dividedShare(state, usage.Demand)
	if limit.Kind.countsConcurrency() {
		extra += Unit - 1 // rounded up, so that no unit is left over: the last to ask gets less
	}
	extra = min(extra, max(free, 0))
	if limit.Kind.countsConcurrency() {
		extra -= extra % Unit
	}
	return extra
}

// dividedShare is a holder's part of what is beyond the static shares, by the demands of all.
func (a *Allocator) dividedShare(state *LimitState, mine int64) int64 {
	if mine <= 0 {
		return 0
	}
	pool := max(state.Limit.Amount-state.Limit.StaticPerHolder()*state.Limit.MaxHolders, 0)
	demands := make([]int64, 0, len(state.Usages))
	for _, usage := range state.Usages { // the order makes no difference to either way of dividing
		if usage.Demand > 0 {
			demands = append(demands, usage.Demand)
		}
	}
	if a.Proportional {
		return proportionalShare(pool, demands, mine)
	}
	return maxMinFairShare(pool, demands, mine)
}

// handOut notes an allocation, and counts where it breaks the invariant.
func (a *Allocator) handOut(state *LimitState, usage *Usage, allocation Allocation) {
	usage.Allocations = append(usage.Allocations, allocation)
	state.setOutstanding(usage, max(usage.Outstanding, allocation.Extra))
	limit := &state.Limit
	if allocation.Extra > 0 && state.Outstanding > limit.Amount-limit.StaticPerHolder()*limit.MaxHolders {
		a.Overcommits++
	}
}
