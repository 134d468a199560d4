// Package lease is a lease protocol, without any input or output: the granter's half, which knows which
// leases may still be in use, and the holder's half, which knows whether it may act now.
//
// The time of the two halves comes from different clocks, so safety rests on how each of them counts:
//
//   - A lease has a number that grows with each grant. It is the fencing token: whoever acts under an older number is
//     refused.
//   - The holder counts from before it sent its request, and takes the lease as shorter by twice MaxClockDrift.
//   - The granter counts a lease as in use from the moment it is granted. Its expiry is set only later, once a clock
//     reading that was taken after the grant is known.
//
// Hence a lease has ended at its holder before it has ended at its granter (Gray and Cheriton, Leases, SOSP 1989).
// docs/FLEET-CONTROL.md, section Time, says where the fleet relies on it.
//
// The package reads no clock and draws no random numbers. Times are passed in, those of each half by its own clock,
// as durations since a moment that the caller chose.
package lease

import "time"

// MaxClockDrift bounds by how much one monotonic clock runs faster or slower than another, as a fraction: 1%. NTP slews a
// clock by at most 0.05%, so the bound is generous. Where two clocks differ by more, a holder may act under a lease that
// its granter takes to have ended.
const MaxClockDrift = 0.01

// Lease is a lease as its granter knows it.
type Lease struct {
	Number uint64        `cbor:"No" json:"No"`       // the fencing token; grows with each grant of the granter
	Expiry time.Duration `cbor:"Until" json:"Until"` // on the granter's clock; 0: not known yet, the lease is in use
}

// inUse reports whether the holder may still act under the lease.
func (l Lease) inUse(now time.Duration) bool { return l.Expiry == 0 || l.Expiry > now }
