// Package timers keeps timers from being set for a time that is over.
//
// In a bubble of testing/synctest the runtime runs a timer that is due when it is set at
// once, on the thread of the one who sets it (runtime.timer.modify, unlockAndRun), and
// under the race detector it does so with the one context that all timers of the bubble
// share. Two goroutines that do that at the same moment corrupt it, and the process dies
// by SIGSEGV: of 300 server tables in one bubble, on most plays. A timer set for the next
// instant goes through the bubble's own scheduler, one after another, and fires as soon.
//
// It must never be used to put a wait off: Ahead(d) is d wherever d lies ahead.
package timers

import "time"

// Positive is the time to set a timer for that is to fire in d: d itself, or a nanosecond
// where that is over.
func Positive(d time.Duration) time.Duration { return max(d, time.Nanosecond) }
