package policylease

// The exploration runs the coordinators' state machine and some holders through orders of events: requests, deliveries,
// losses, duplicates, proposals and passing time. After each event it checks the invariant of the agreement: no two
// holders admit work under different versions at one moment. Tests and lab/prove-policy use it; no running program may.

import "math/rand/v2"

// Exploration is the outcome of an exploration.
type Exploration struct {
	States    int      // visited by Explore; events taken by RandomWalks
	Violation []string // the events to the first state that violates the invariant, and how it does; nil: none was found
}

// Explore visits every order of events of some holders breadth first, to a depth in events or to maxStates distinct
// states, whichever comes first. A violation that it finds is one of the shortest.
func Explore(holders, depth, maxStates int, fault Fault) Exploration {
	type node struct {
		model *model
		path  []string
	}
	first := newModel(holders)
	seen := map[[32]byte]bool{first.hash(): true}
	frontier := []node{{first, nil}}
	for range depth {
		var next []node
		for _, n := range frontier {
			for _, e := range n.model.events(fault) {
				reached := n.model.clone()
				e.apply(reached)
				hash := reached.hash()
				if seen[hash] {
					continue
				}
				seen[hash] = true
				path := append(append([]string(nil), n.path...), e.name)
				if violation := reached.violation(fault); violation != "" {
					return Exploration{len(seen), append(path, violation)}
				}
				if len(seen) >= maxStates {
					return Exploration{States: len(seen)}
				}
				next = append(next, node{reached, path})
			}
		}
		frontier = next
	}
	return Exploration{States: len(seen)}
}

// walksForShorter is how many more random walks are taken after a violation was found, for a shorter one.
const walksForShorter = 500

// RandomWalks takes random walks of up to maxEvents events, where the states are too many for Explore. Walk i is drawn
// from seed i, so the same arguments take the same walks. Of the violations found, the shortest is returned.
func RandomWalks(holders, walks, maxEvents int, fault Fault) Exploration {
	var best Exploration
	firstFound := walks
	for seed := 0; seed < min(walks, firstFound+walksForShorter); seed++ {
		limit := maxEvents
		if best.Violation != nil {
			limit = min(limit, len(best.Violation)-2) // a violation holds one line more than its events
		}
		violation, taken := randomWalk(uint64(seed), holders, limit, fault)
		best.States += taken
		if violation != nil {
			best.Violation, firstFound = violation, min(firstFound, seed)
		}
	}
	return best
}

// randomWalk takes one walk, and returns how it violates the invariant (nil: it does not), and how many events it took.
func randomWalk(seed uint64, holders, maxEvents int, fault Fault) (violation []string, taken int) {
	rnd := rand.New(rand.NewPCG(seed, 3))
	m := newModel(holders)
	var path []string
	for taken < maxEvents {
		possible := m.events(fault)
		if len(possible) == 0 {
			break
		}
		e := draw(rnd, possible)
		e.apply(m)
		taken++
		path = append(path, e.name)
		if violation := m.violation(fault); violation != "" {
			return append(path, violation), taken
		}
	}
	return nil, taken
}

// draw picks one event at random, each with its weight.
func draw(rnd *rand.Rand, possible []event) event {
	sum := 0
	for _, e := range possible {
		sum += e.weight
	}
	left := rnd.IntN(sum)
	for _, e := range possible {
		if left -= e.weight; left < 0 {
			return e
		}
	}
	return possible[len(possible)-1]
}
