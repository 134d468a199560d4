//go:build race

package emulator

// Under the race detector a schedule takes about eight times as long, one of nine control machines four minutes on
// a busy machine: fewer are played, and none of nine. The run without it plays them all.
const (
	schedulesInTest     = 4
	historiesInTest     = 1
	retentionsInTest    = 1
	addressesInTest     = 1
	finalFaultsInTest   = 1
	inactiveViewsInTest = 1
	faultShapesInTest   = 1
)
