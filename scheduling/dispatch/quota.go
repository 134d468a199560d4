package dispatch

import "time"

// tokenBucket enforces a tenant's quota at this dispatcher.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Duration // time of the latest refill
}

// quotaBurstRequests is the minimum size of a tenant's bucket, in requests; a bucket holds one second of its
// rate if that is more. With less, two simultaneous requests would exceed any small quota.
const quotaBurstRequests = 2

// withinQuota takes one request from the tenant's quota, of which each dispatcher has an equal part, and
// reports whether the quota allows it. A request beyond the quota is served too, with
// ValueSettings.OverQuotaShare of its value.
func (d *dispatcher) withinQuota(tenant int) bool {
	if tenant < 0 || tenant >= len(d.quotas) || d.Tenants[tenant].Quota <= 0 {
		return true
	}
	b, rate := &d.quotas[tenant], d.Tenants[tenant].Quota/float64(d.Fleet.Count)
	b.tokens = min(b.tokens+rate*(d.now-b.refilledAt).Seconds(), max(rate, quotaBurstRequests))
	b.refilledAt = d.now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
