// Package timers keeps timers from being set for a time that has passed.
//
// In a bubble of testing/synctest the runtime runs a timer that is due when it is set at
// once, on the thread of the goroutine that sets it (runtime.timer.modify,
// unlockAndRun), and under the race detector it does so with the one context that all
// timers of the bubble share. Two goroutines that do so at the same moment corrupt it,
// and the process dies by SIGSEGV: with 300 server tables in one bubble, in most runs. A
// timer set for the next instant goes through the bubble's own scheduler, one after
// another, and fires as soon.
//
// The package never delays a timer whose time lies ahead.
package timers

import "time"

// Positive returns the duration to set a timer to that is to fire in d: d itself, or a
// nanosecond where d is 0 or less.
func Positive(d time.Duration) time.Duration { return max(d, time.Nanosecond) }
