package quota

import (
	"cmp"
	"slices"
)

// The two ways to divide a pool: max-min fair shares, and the proportional shares of Doorman's ProportionalShare
// algorithm. Both hand out the whole pool where the demands come to less: each gets an even part of the rest, as room
// to grow until the next request. demands are those of all holders that want some, mine among them, all over 0.

// maxMinFairShare gives those that want less than an even part all they want, and the others equal parts of the rest.
// It sorts demands.
func maxMinFairShare(pool int64, demands []int64, mine int64) int64 {
	if total := sum(demands); total <= pool {
		return mine + evenRest(pool, total, len(demands))
	}
	slices.SortFunc(demands, cmp.Compare)
	for i, demand := range demands {
		if level := pool / int64(len(demands)-i); demand >= level {
			return min(mine, level)
		}
		pool -= demand
	}
	return mine
}

// proportionalShare gives each an even part, or what it wants of it, and divides what is left in proportion to how much
// more than an even part the others want.
func proportionalShare(pool int64, demands []int64, mine int64) int64 {
	if total := sum(demands); total <= pool {
		return mine + evenRest(pool, total, len(demands))
	}
	even := pool / int64(len(demands))
	if mine <= even {
		return mine
	}
	unused, excess := int64(0), int64(0)
	for _, demand := range demands {
		unused += max(even-demand, 0)
		excess += max(demand-even, 0)
	}
	return even + int64(float64(unused)*(float64(mine-even)/float64(excess)))
}

func sum(demands []int64) (total int64) {
	for _, demand := range demands {
		total += demand
	}
	return total
}

// evenRest is what each of n holders gets beyond its demand where all demands are met.
func evenRest(pool, total int64, n int) int64 { return (pool - total) / int64(n) }
