//go:build race

package simulation

const plays = uint64(8)
