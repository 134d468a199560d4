// Package lease implements a lease protocol without I/O. Its two sides are Granter, which knows which leases may still be in
// use, and Holder, which knows whether it may act now.
//
// The two sides read different clocks, so safety depends on how each of them measures the lease:
//
//   - Each lease has a number that increases with each grant. The number is the fencing token: an action under an older
//     number is rejected.
//   - The holder measures from a clock reading that it took before sending its request, and shortens the lease by twice
//     MaxClockDrift.
//   - The granter considers a lease as in use from the moment of the grant. It sets the expiry only later, once it knows a
//     clock reading that was taken after the grant.
//
// Hence a lease ends at its holder before it ends at its granter (Gray and Cheriton, Leases, SOSP 1989).
// docs/FLEET-CONTROL.md, section Time, lists where the fleet relies on this.
//
// The package reads no clock and draws no random numbers. Callers pass times as durations since a moment of their choice;
// each side uses its own clock.
package lease

import "time"

// MaxClockDrift is the maximum fraction by which one monotonic clock may run faster or slower than another: 1%. NTP slews a
// clock by at most 0.05%, so the bound is generous. If the rates of two clocks differ by more, a holder may act under a
// lease that has expired at its granter.
const MaxClockDrift = 0.01

// Lease is the granter's record of a lease.
type Lease struct {
	Number uint64        `cbor:"No" json:"No"`       // the fencing token; increases with each grant
	Expiry time.Duration `cbor:"Until" json:"Until"` // on the granter's clock; 0: not known yet, so the lease is in use
}

// inUse reports whether the holder may still act under the lease.
func (l Lease) inUse(now time.Duration) bool { return l.Expiry == 0 || l.Expiry > now }
