// Package invariant owns the record of what must hold and did not: a debug
// build stops there, a release build counts it and goes on. It must never
// change what the caller does next.
package invariant

import (
	"fmt"
	"log"
	"sync"
)

var (
	mu     sync.Mutex
	broken = map[string]int{}
)

// Check tells whether ok holds; where it does not, name is counted, or a debug
// build panics.
func Check(ok bool, name string) bool {
	if ok {
		return true
	}
	mu.Lock()
	broken[name]++
	n := broken[name]
	mu.Unlock()
	if n&(n-1) == 0 { // the 1st, 2nd, 4th, ...: a killed process leaves no other count
		log.Printf("invariant broken %d times: %s", n, name)
	}
	if Debug {
		panic(fmt.Sprintf("invariant broken: %s", name))
	}
	return false
}

// Violations returns the counts so far.
func Violations() map[string]int {
	mu.Lock()
	defer mu.Unlock()
	out := make(map[string]int, len(broken))
	for k, v := range broken {
		out[k] = v
	}
	return out
}
