package workerpool

import (
	"math"
	"math/rand/v2"
	"testing"
)

// Arcs of equal lengths that begin at equal distances cover a ring of places of any sizes evenly.
func TestArcsCoverTheRingEvenly(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		sizes, totalSize := make([]float64, 1+rnd.IntN(40)), 0.0
		for i := range sizes {
			sizes[i] = 0.2 + rnd.Float64()
			totalSize += sizes[i]
		}
		n, times := 1+rnd.IntN(60), 1+rnd.IntN(4)
		if times > n {
			continue
		}
		cover := make([]float64, len(sizes))
		for arc := range n {
			length := totalSize / float64(n) * float64(times)
			sum := 0.0
			for i, part := range ArcCoverage(sizes, totalSize/float64(n)*float64(arc), length) {
				cover[i] += part
				sum += part * sizes[i]
			}
			if math.Abs(sum-length) > 1e-6 {
				t.Fatalf("an arc of length %v covers places of total size %v", length, sum)
			}
		}
		for _, c := range cover {
			if math.Abs(c-float64(times)) > 1e-6 {
				t.Fatalf("%d arcs, each of %d equal shares: a place is covered %v times", n, times, c)
			}
		}
	}
	if len(ArcCoverage(nil, 0, 1)) != 0 {
		t.Error("coverage of an empty ring is not empty")
	}
}

// Pools have the requested shares, and a change of the shares moves only a few positions to other pools.
func TestPoolSharesAndChanges(t *testing.T) {
	was, now := []float64{3, 1, 4}, []float64{3, 1.4, 4}
	count, moved := [3]int{}, 0
	const positions = 10000
	for i := range positions {
		position := (float64(i) + 0.5) / positions
		pool := PoolAt(position, was)
		count[pool]++
		if PoolAt(position, now) != pool {
			moved++
		}
	}
	for i, share := range was {
		if math.Abs(float64(count[i])/positions-share/8) > 0.001 {
			t.Errorf("pool %d has %d of %d positions, want a share of %.3f", i, count[i], positions, share/8)
		}
	}
	if moved > positions*6/100 || moved == 0 {
		t.Errorf("%d of %d positions moved to another pool, want more than 0 and at most 6 %%", moved, positions)
	}
	if PoolAt(1, was) != 2 || PoolAt(0, []float64{1}) != 0 {
		t.Error("wrong pool for the last position of three pools or for the first of a single pool")
	}
	if SharesChanged(was, []float64{6, 2, 8}) || !SharesChanged(was, []float64{1}) ||
		!SharesChanged([]float64{1, 1}, []float64{1, 1.3}) || SharesChanged([]float64{1, 1}, []float64{1, 1.1}) {
		t.Error("SharesChanged does not detect exactly the changes above 0.05")
	}
}

// One long job changes the ratio of two classes' work little; many long jobs change it much, and the change
// decays.
func TestRecentWork(t *testing.T) {
	var short, long RecentWork
	if long.Estimate() != short.Estimate() {
		t.Error("the estimates of two classes without jobs differ")
	}
	long.Add(3)
	if r := long.Estimate() / short.Estimate(); r < 1 || r > 1.5 {
		t.Errorf("work ratio after one long job is %.2f, want 1 to 1.5", r)
	}
	for range 60 {
		long.Add(1.2)
	}
	if r := long.Estimate() / short.Estimate(); r < 5 {
		t.Errorf("work ratio after 72 s more of long jobs is %.2f, want at least 5", r)
	}
	for range 300 {
		long.Decay()
	}
	if r := long.Estimate() / short.Estimate(); r > 1.05 {
		t.Errorf("work ratio five minutes later is %.2f, want at most 1.05", r)
	}
}
