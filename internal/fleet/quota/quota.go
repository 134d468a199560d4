// Package quota is limits that hold for a whole fleet of dispatchers: requests a second, requests open at once, work a
// second, retries as a ratio of first attempts, and jobs open at any one worker. Its two halves are the Allocator of
// the coordinators, which hands each limit out in shares, each for the duration of a lease, and the Limiter of a
// dispatcher, which admits requests by its shares and waits for nobody.
//
// The invariant, at every moment and for every limit: the shares that may still be in use, together with the static
// shares of the dispatchers that hold none, come to no more than the limit. Therefore
//
//   - a share that is lowered counts in full until its holder has acknowledged a later one;
//   - a share counts until its lease has ended at the coordinators, which is after it has ended at its holder (package
//     lease);
//   - what a vanished holder had open counts for Limit.ReclaimDelay beyond its lease, by when it must have ended.
//
// Amounts are whole millionths of a Unit, so that sums stay exact however long a process runs. How a limit is divided is
// that of Doorman, the quota service of YouTube: by need, with a static share held back for dispatchers that have lost
// the coordinators. docs/LIMITS.md describes it for operators.
//
// The package reads no clock, draws no random numbers, does no input or output, and never makes a request wait.
package quota

import (
	"fmt"
	"slices"
	"strconv"
)

// Unit is one request, one slot-second, or all of a share, in the millionths of which amounts are counted.
const Unit = 1_000_000

// Kind is what a limit counts.
type Kind uint8

// The kinds. Their numbers are stored.
const (
	RequestRate          Kind = iota // requests a second
	Concurrency                      // requests open at once
	WorkRate                         // slot-seconds of work a second
	RetryBudget                      // retries: a ratio of first attempts, and some a second beside
	PerWorkerConcurrency             // jobs open at any one worker
	WarmingShare                     // of what any one warming worker bears; a Unit is all of it
)

// kindNames are the kinds' names in the operators' files, by number.
var kindNames = []string{"rate", "open", "work", "retries", "at-worker", "cold"}

// ParseKind reads a kind by its name in the operators' files; its error is a LimitError.
func ParseKind(s string) (Kind, error) {
	if i := slices.Index(kindNames, s); i >= 0 {
		return Kind(i), nil
	}
	return 0, &LimitError{"kind", strconv.Quote(s), fmt.Sprintf("one of %q", kindNames)}
}

// String is the kind's name in the operators' files.
func (k Kind) String() string { return kindNames[min(int(k), len(kindNames)-1)] }

// countsConcurrency reports that what is limited is taken and given back, in whole numbers; else it is a rate or a
// share.
func (k Kind) countsConcurrency() bool { return k == Concurrency || k == PerWorkerConcurrency }
