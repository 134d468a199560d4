//go:build race

package simulation

const seedCount = uint64(8) // see planted_test.go
