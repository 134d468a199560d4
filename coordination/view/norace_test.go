//go:build !race

package view

const (
	underRaceDetector = false
	// explorationSize is the greatest number of states that an exploration visits.
	explorationSize = 5_000_000
)
