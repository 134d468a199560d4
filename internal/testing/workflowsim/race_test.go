//go:build race

package workflowsim

const seedCount = uint64(8) // see planted_test.go
