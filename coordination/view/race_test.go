//go:build race

package view

// Under the race detector, which makes an exploration ten times as slow, a part of the states is visited; the run without it
// visits all.
const (
	underRaceDetector = true
	explorationSize   = 30_000
)
