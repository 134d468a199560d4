package quota

import (
	"math/bits"
	"time"
)

// meter is one limit at a dispatcher: the share that may be used, what is used of it, and what was wanted of it since
// the last requests to the coordinators.
type meter struct {
	Limit
	share  int64 // until the shares expire; then the static share
	bucket tokenBucket

	inUse int64 // of concurrency

	demanded   int64 // of rates: wanted since the last requests
	peakDemand int64 // of concurrency: the most wanted at once since the last requests
}

// usable is how much of the limit may be used at a moment.
func (m *meter) usable(now, sharesExpiry time.Duration) int64 {
	if now < sharesExpiry {
		return m.share
	}
	return m.StaticPerHolder()
}

// burst is how much of a share may be saved up: one request, and the share's part of the rest of the limit's burst. The
// bursts of all holders come to no more than the limit's.
func (m *meter) burst(share int64) int64 {
	if m.Kind.countsConcurrency() {
		return 0
	}
	if share <= 0 || m.Amount <= 0 {
		return Unit
	}
	rest := max(m.Burst-m.MaxHolders*Unit, 0)
	hi, lo := bits.Mul64(uint64(rest), uint64(min(share, m.Amount)))
	part, _ := bits.Div64(hi, lo, uint64(m.Amount))
	return Unit + int64(part)
}

// refill lets time pass: up to the expiry of the shares by the share, after it by the static share.
func (m *meter) refill(now, sharesExpiry time.Duration) {
	b := &m.bucket
	if m.Kind.countsConcurrency() || now <= b.filledAt {
		return
	}
	if b.filledAt < sharesExpiry && now > sharesExpiry {
		b.fill(sharesExpiry-b.filledAt, m.share, m.burst(m.share))
		b.filledAt = sharesExpiry
	}
	rate := m.usable(b.filledAt, sharesExpiry)
	b.fill(now-b.filledAt, rate, m.burst(rate))
	b.filledAt = now
}

// clamp takes away what is saved up beyond the present burst.
func (m *meter) clamp(now, sharesExpiry time.Duration) {
	m.bucket.tokens = min(m.bucket.tokens, m.burst(m.usable(now, sharesExpiry)))
}

// cost is what a request takes of a rate. work is in millionths of a slot-second.
func (m *meter) cost(work int64) int64 {
	if m.Kind == WorkRate {
		return work
	}
	return Unit
}

// check counts what a request demands of the limit, and reports whether it may have it; else after what time to retry.
func (m *meter) check(now, sharesExpiry time.Duration, work int64) (retryAfter time.Duration, ok bool) {
	switch m.Kind {
	case Concurrency:
		m.peakDemand = max(m.peakDemand, m.inUse+Unit)
		return concurrencyRetryAfter, m.inUse+Unit <= m.usable(now, sharesExpiry)
	case WarmingShare: // placement keeps to it, and makes jobs wait: no request is rejected here
		m.demanded += work
	case RequestRate, WorkRate:
		m.refill(now, sharesExpiry)
		cost, share := m.cost(work), m.usable(now, sharesExpiry)
		m.demanded += cost
		// A job that costs more than may be saved up is admitted with a full bucket, and paid back.
		if need := min(cost, m.burst(share)); m.bucket.tokens < need {
			return refillTime(need-m.bucket.tokens, share), false
		}
	}
	return 0, true
}

// take uses what an admitted request needs of the limit.
func (m *meter) take(now, sharesExpiry time.Duration, work int64) {
	switch m.Kind {
	case Concurrency:
		m.inUse += Unit
	case RequestRate, WorkRate:
		m.bucket.tokens -= m.cost(work)
	case RetryBudget: // each first attempt earns its ratio of a retry
		m.refill(now, sharesExpiry)
		most := max(m.burst(m.usable(now, sharesExpiry)), m.RetryRatio)
		m.bucket.tokens = min(m.bucket.tokens+m.RetryRatio, most)
	}
}

// request returns what could be used by the demand since the last call, span ago.
func (m *meter) request(now, sharesExpiry, span time.Duration) Request {
	r := Request{Limit: m.Name, InUse: m.inUse}
	if m.Kind.countsConcurrency() {
		if r.Demand = max(m.peakDemand, m.inUse); r.Demand > m.usable(now, sharesExpiry) {
			r.Demand += m.share // the demand may be far more: what was rejected is not open
		}
		m.peakDemand = m.inUse
		return r
	}
	r.Demand = int64(float64(m.demanded) / span.Seconds())
	m.demanded = 0
	return r
}

// tokenBucket saves up what a rate allows.
type tokenBucket struct {
	tokens    int64
	remainder uint64 // of the last fill: what is short of a token, in token-nanoseconds
	filledAt  time.Duration
}

// fill adds what a rate (a second) brings in a time, up to a capacity. No intermediate result overflows.
func (b *tokenBucket) fill(d time.Duration, rate, capacity int64) {
	hi, lo := bits.Mul64(uint64(max(rate, 0)), uint64(d))
	lo, carry := bits.Add64(lo, b.remainder, 0)
	if hi += carry; hi >= uint64(time.Second) { // the quotient would not fit in 64 bits
		b.tokens, b.remainder = capacity, 0
		return
	}
	added, remainder := bits.Div64(hi, lo, uint64(time.Second))
	added = min(added, 1<<61)
	b.remainder = remainder
	if b.tokens+int64(added) >= capacity {
		b.tokens, b.remainder = capacity, 0
		return
	}
	b.tokens += int64(added)
}
