//go:build race

package virtualday

// seeds is how many of a test's seeds are played: all, or few under the race detector,
// where a day takes ten times as long and a further one runs through the same code.
func seeds(_, few uint64) uint64 { return few }
