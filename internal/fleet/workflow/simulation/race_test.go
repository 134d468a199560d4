//go:build race

package storm

const plays = uint64(8)
