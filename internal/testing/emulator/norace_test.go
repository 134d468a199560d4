//go:build !race

package emulator

const (
	// schedulesInTest is how many seeded schedules a test run plays; PROVE_SCHEDULES sets another number.
	schedulesInTest = 6
	// historiesInTest is how many histories of the configuration API a test run checks.
	historiesInTest = 4
	// retentionsInTest is how many schedules of trouble of heads a test run plays.
	retentionsInTest = 3
	// addressesInTest is how many schedules of addresses that are used again a test run plays.
	addressesInTest = 2
	// finalFaultsInTest is how many seeds of each final fault a test run plays with each shape.
	finalFaultsInTest = 1
	// inactiveViewsInTest is how many seeds of a loss before a view is active a test run plays with each shape.
	inactiveViewsInTest = 4
	// faultShapesInTest is with how many shapes a test run plays final faults; PROVE_SCHEDULES plays them with all.
	faultShapesInTest = 2
)
