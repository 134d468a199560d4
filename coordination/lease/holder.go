package lease

import "time"

// Holder is the holder's side of the protocol. The zero value holds no lease.
type Holder struct {
	expiry   time.Duration // on the holder's clock; 0: it holds no lease
	duration time.Duration // of the latest lease, as it was granted
}

// Renew starts or renews a lease. requested is the reading of the holder's clock from before the request was sent; duration
// is the granted length.
func (h *Holder) Renew(requested, duration time.Duration) {
	h.duration = duration
	h.expiry = requested + time.Duration(float64(duration)*(1-2*MaxClockDrift))
}

// Release ends the lease at the holder before its expiry.
func (h *Holder) Release() { h.expiry = 0 }

// Valid reports whether the holder may act now. Callers must call it immediately before each action and never cache the
// result: this is how a process that was suspended finds out that its lease has ended in the meantime.
func (h Holder) Valid(now time.Duration) bool { return h.expiry > now }

// Expiry returns the time at which the lease ends, on the holder's clock, or 0 if it holds no lease.
func (h Holder) Expiry() time.Duration { return h.expiry }

// Duration returns the granted length of the latest lease, even after its end, or 0 if there never was a lease.
func (h Holder) Duration() time.Duration { return h.duration }
