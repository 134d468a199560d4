package dispatch

import "time"

// tokenBucket is a tenant's quota at this dispatcher.
type tokenBucket struct {
	tokens float64
	at     time.Duration
}

// quotaBurstRequests is the least size of a tenant's bucket, in requests; it is a second of its rate where
// that is more. With less, two requests at once would be beyond any small quota.
const quotaBurstRequests = 2

// withinQuota takes one request from its tenant's quota, of which each dispatcher has an equal part.
// Beyond it the request is served too, with OverQuotaValueShare of its value.
func (d *dispatcher) withinQuota(tenant int) bool {
	if tenant < 0 || tenant >= len(d.quotas) || d.Tenants[tenant].Quota <= 0 {
		return true
	}
	b, rate := &d.quotas[tenant], d.Tenants[tenant].Quota/float64(d.Fleet.Count)
	b.tokens = min(b.tokens+rate*(d.now-b.at).Seconds(), max(rate, quotaBurstRequests))
	b.at = d.now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
