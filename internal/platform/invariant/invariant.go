// Package invariant records conditions that must hold and did not. A build with the tag
// debug panics there; a release build counts the violation and goes on, as a dispatcher
// that ends would lose more than one in an unexpected state. What the caller does next
// never depends on the build, apart from that panic.
package invariant

import (
	"fmt"
	"log"
	"maps"
	"sync"
)

var (
	mu         sync.Mutex
	violations = map[string]int{} // by name; mu guards it
)

// Check returns ok. Where it is false, a violation of name is counted, or a debug build
// panics.
func Check(ok bool, name string) bool {
	if ok {
		return true
	}
	mu.Lock()
	violations[name]++
	n := violations[name]
	mu.Unlock()
	if n&(n-1) == 0 { // the 1st, 2nd, 4th, ...: a process that is killed leaves no other count
		log.Printf("invariant broken %d times: %s", n, name)
	}
	if Debug {
		panic(fmt.Sprintf("invariant broken: %s", name))
	}
	return false
}

// Violations returns the counts so far, by name.
func Violations() map[string]int {
	mu.Lock()
	defer mu.Unlock()
	return maps.Clone(violations)
}
