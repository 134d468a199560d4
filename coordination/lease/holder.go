package lease

import "time"

// Holder is the holder's half of one lease. The zero value holds none.
type Holder struct {
	expiry   time.Duration // on the holder's clock; 0: it holds none
	duration time.Duration // of the latest lease, as it was granted
}

// Renew takes up a lease. requested is when the holder's clock was read, before the request was sent; duration is the
// length that was granted.
func (h *Holder) Renew(requested, duration time.Duration) {
	h.duration = duration
	h.expiry = requested + time.Duration(float64(duration)*(1-2*MaxClockDrift))
}

// Release ends the lease at the holder's own wish.
func (h *Holder) Release() { h.expiry = 0 }

// Valid reports whether the holder may act now. Ask at the moment of acting and never keep the answer: a process that
// was stopped for a while learns here that its lease has ended meanwhile.
func (h Holder) Valid(now time.Duration) bool { return h.expiry > now }

// Expiry is when the lease ends; 0 where there is none.
func (h Holder) Expiry() time.Duration { return h.expiry }

// Duration is the length of the latest lease as it was granted, also after its end; 0 where there never was one.
func (h Holder) Duration() time.Duration { return h.duration }
