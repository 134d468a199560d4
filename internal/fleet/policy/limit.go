package policy

import (
	"errors"
	"fmt"
	"math"
	"time"

	"yardflow/internal/fleet/quota"
)

// defaultReclaimDelay is for how long requests of a vanished dispatcher may run on where the document says nothing: 10 s,
// longer than jobs usually run.
const defaultReclaimDelay = 10 * time.Second

// maxQuantity is the greatest number that a limit may have: in millionths it fits in 63 bits, products with it included.
const maxQuantity = 1e6

// Limit is a limit of the whole fleet; its quantities are in units (requests, slot-seconds, shares).
type Limit struct {
	Name        string  `toml:"name"`
	Kind        string  `toml:"kind"` // as quota.ParseKind reads it
	Team        string  `toml:"team,omitempty"`
	Tenant      string  `toml:"tenant,omitempty"`
	Class       string  `toml:"class,omitempty"`
	Amount      float64 `toml:"amount"`
	Burst       float64 `toml:"burst,omitempty"`
	RetryRatio  float64 `toml:"share,omitempty"`
	StaticShare float64 `toml:"static,omitempty"`
}

// QuotaLimits are the document's limits as the coordinators hand them out; nil where it has none. Its error joins all
// problems.
func (d *Document) QuotaLimits() (limits []quota.Limit, err error) {
	if len(d.Limits) > maxLimits {
		return nil, fmt.Errorf("limit: %d of them; expected %d at most", len(d.Limits), maxLimits)
	}
	var all problems
	if len(d.Limits) > 0 && d.Dispatchers < 1 {
		all.add("dispatchers: missing; expected how many there are, with every second process of an upgrade")
	}
	names := map[string]bool{}
	for i, stated := range d.Limits {
		kind, err := quota.ParseKind(stated.Kind)
		if err != nil {
			all.add("limit[%d].%w", i, err)
			continue
		}
		limit := d.quotaLimit(i, kind, &all)
		if err := limit.Validate(); err != nil && d.Dispatchers > 0 {
			all.add("limit[%d].%w", i, err)
		} else if names[stated.Name] {
			all.add("limit[%d].name: %q comes twice", i, stated.Name)
		}
		names[stated.Name] = true
		limits = append(limits, limit)
	}
	return limits, errors.Join(all...)
}

// quotaLimit is limit i in millionths; a quantity that is out of range is reported and left at 0.
func (d *Document) quotaLimit(i int, kind quota.Kind, all *problems) quota.Limit {
	stated := d.Limits[i]
	reclaimDelay := time.Duration(d.ReclaimDelay)
	if reclaimDelay == 0 {
		reclaimDelay = defaultReclaimDelay
	}
	limit := quota.Limit{Name: stated.Name, Kind: kind, Team: stated.Team, Tenant: stated.Tenant, Class: stated.Class,
		MaxHolders: int64(d.Dispatchers), ReclaimDelay: reclaimDelay}
	for _, quantity := range []struct {
		key    string
		stated float64
		set    *int64
	}{
		{"amount", stated.Amount, &limit.Amount},
		{"burst", stated.Burst, &limit.Burst},
		{"share", stated.RetryRatio, &limit.RetryRatio},
		{"static", stated.StaticShare, &limit.StaticShare},
	} {
		if !(quantity.stated >= 0 && quantity.stated <= maxQuantity) { // NaN is in no range
			all.add("limit[%d].%s: %v; expected 0 to 1000000", i, quantity.key, quantity.stated)
			continue
		}
		*quantity.set = int64(math.Round(quantity.stated * quota.Unit))
	}
	return limit
}
