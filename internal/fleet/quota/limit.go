package quota

import (
	"fmt"
	"time"
)

// Bounds of what operators may ask for.
const (
	maxAmount       = 1e6 * Unit
	maxHolders      = 100_000
	maxRetryRatio   = 10 * Unit
	maxReclaimDelay = time.Hour
)

// Limit is a limit of the fleet. Amounts are in millionths (see Unit).
type Limit struct {
	Name                string
	Kind                Kind
	Team, Tenant, Class string        // whose requests it counts; empty: all
	Amount              int64         // at once, or a second; of RetryBudget: retries a second beside the ratio
	Burst               int64         // of rates: the most that may be used at once after a pause, by all together
	RetryRatio          int64         `cbor:"Share" json:"Share"`     // of RetryBudget: retries for each first attempt
	StaticShare         int64         `cbor:"Static" json:"Static"`   // part of Amount that is divided evenly, for those that have lost the coordinators
	MaxHolders          int64         `cbor:"Holders" json:"Holders"` // dispatchers at once, with every second process of an upgrade
	ReclaimDelay        time.Duration `cbor:"Settle" json:"Settle"`   // of concurrency: for how long requests of a vanished holder may run on
}

// LimitError says which key of a limit has a value that it can't have.
type LimitError struct{ Key, Got, Want string }

func (e *LimitError) Error() string { return e.Key + ": " + e.Got + "; expected " + e.Want }

// Code is the fault's code in the operators' table.
func (e *LimitError) Code() string { return "limit" }

// Advice is what an operator can do.
func (e *LimitError) Advice() string {
	return "correct the key in the policy's [[limit]] and propose it again; what is in force stays"
}

// Validate returns a LimitError for the first key that has a value it can't have.
func (l *Limit) Validate() error {
	invalid := func(key string, got any, want string) error { return &LimitError{key, fmt.Sprint(got), want} }
	units := func(v int64) float64 { return float64(v) / Unit }
	concurrency := l.Kind.countsConcurrency()
	forWholeFleet := l.Kind == PerWorkerConcurrency || l.Kind == WarmingShare
	switch {
	case l.Name == "":
		return invalid("name", "missing", "one that no other limit has")
	case l.Amount < 0 || l.Amount > maxAmount:
		return invalid("amount", units(l.Amount), "0 to 1000000")
	case l.MaxHolders < 1 || l.MaxHolders > maxHolders:
		return invalid("dispatchers", l.MaxHolders, "1 to 100000")
	case l.StaticShare < 0 || l.StaticShare > Unit:
		return invalid("static", units(l.StaticShare), "0 to 1")
	case l.Kind == WarmingShare && (l.Amount > Unit || l.Burst != 0):
		return invalid("amount", units(l.Amount), "up to 1, the whole of what a cold worker bears, and no burst")
	case !concurrency && l.Kind != WarmingShare && (l.Burst < l.MaxHolders*Unit || l.Burst > maxAmount):
		return invalid("burst", units(l.Burst), fmt.Sprintf("one for each of the %d dispatchers or more, since less than one request lets none pass", l.MaxHolders))
	case concurrency && l.Burst != 0:
		return invalid("burst", units(l.Burst), fmt.Sprintf("none for a limit of kind %v", l.Kind))
	case l.RetryRatio < 0 || l.RetryRatio > maxRetryRatio || l.Kind != RetryBudget && l.RetryRatio != 0:
		return invalid("share", units(l.RetryRatio), "0 to 10, for retries alone")
	case l.ReclaimDelay < 0 || l.ReclaimDelay > maxReclaimDelay:
		return invalid("settle", l.ReclaimDelay, "0s to 1h")
	case forWholeFleet && l.Team+l.Tenant+l.Class != "":
		return invalid("team, tenant, class", l.Team+l.Tenant+l.Class, fmt.Sprintf("none for a limit of kind %v: it is for all", l.Kind))
	}
	return nil
}

// StaticPerHolder is the static share of each holder. A share that is handed out contains it; a holder without one has
// it alone.
func (l *Limit) StaticPerHolder() int64 {
	static := l.Amount / Unit * l.StaticShare / l.MaxHolders // whole units and the rest apart: no product overflows
	static += l.Amount % Unit * l.StaticShare / Unit / l.MaxHolders
	if l.Kind.countsConcurrency() {
		static -= static % Unit
	}
	return static
}

// MaxOvershoot is by how much the limit may be exceeded while so many dispatchers run at once, and why; 0 and empty
// where they are no more than MaxHolders.
func (l *Limit) MaxOvershoot(holders int64) (over int64, why string) {
	if more := holders - l.MaxHolders; more > 0 {
		over = more * l.StaticPerHolder()
		if !l.Kind.countsConcurrency() && l.Kind != WarmingShare {
			over += more * Unit // the one request that each may have saved up
		}
		why = fmt.Sprintf("%d dispatchers beyond the stated %d, each with a static share of %v", more, l.MaxHolders, float64(l.StaticPerHolder())/Unit)
	}
	return over, why
}
