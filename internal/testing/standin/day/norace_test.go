//go:build !race

package day

func seeds(all, _ uint64) uint64 { return all }
