package workerpool

import (
	"math"
	"math/rand/v2"
	"testing"
)

// Arcs of equal lengths that begin at even distances cover a ring of any sizes evenly.
func TestArcsCoverTheRingEvenly(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		sizes, all := make([]float64, 1+rnd.IntN(40)), 0.0
		for i := range sizes {
			sizes[i] = 0.2 + rnd.Float64()
			all += sizes[i]
		}
		n, times := 1+rnd.IntN(60), 1+rnd.IntN(4)
		if times > n {
			continue
		}
		cover := make([]float64, len(sizes))
		for me := range n {
			length := all / float64(n) * float64(times)
			sum := 0.0
			for i, part := range ArcCoverage(sizes, all/float64(n)*float64(me), length) {
				cover[i] += part
				sum += part * sizes[i]
			}
			if math.Abs(sum-length) > 1e-6 {
				t.Fatalf("an arc of %v covers %v", length, sum)
			}
		}
		for _, c := range cover {
			if math.Abs(c-float64(times)) > 1e-6 {
				t.Fatalf("%d arcs of %d shares: a place is covered %v times", n, times, c)
			}
		}
	}
	if len(ArcCoverage(nil, 0, 1)) != 0 {
		t.Error("an empty ring")
	}
}

// Pools have the shares asked for, and a share that changes by so much moves no more positions.
func TestPools(t *testing.T) {
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
			t.Errorf("pool %d has %d of %d positions, want %.3f", i, count[i], positions, share/8)
		}
	}
	if moved > positions*6/100 || moved == 0 {
		t.Errorf("%d of %d positions moved", moved, positions)
	}
	if PoolAt(1, was) != 2 || PoolAt(0, []float64{1}) != 0 {
		t.Error("the last position, and a single pool")
	}
	if SharesChanged(was, []float64{6, 2, 8}) || !SharesChanged(was, []float64{1}) || !SharesChanged([]float64{1, 1}, []float64{1, 1.3}) || SharesChanged([]float64{1, 1}, []float64{1, 1.1}) {
		t.Error("which shares have changed")
	}
}

// The work of a few long jobs does not turn the shares over; that of many does, and decays.
func TestRecentWork(t *testing.T) {
	var short, long RecentWork
	if long.Estimate() != short.Estimate() {
		t.Error("before any job the classes are not alike")
	}
	long.Add(3)
	if r := long.Estimate() / short.Estimate(); r < 1 || r > 1.5 {
		t.Errorf("one long job: %.2f times the work", r)
	}
	for range 60 {
		long.Add(1.2)
	}
	if r := long.Estimate() / short.Estimate(); r < 5 {
		t.Errorf("72 s of work: %.2f times the work", r)
	}
	for range 300 {
		long.Decay()
	}
	if r := long.Estimate() / short.Estimate(); r > 1.05 {
		t.Errorf("five minutes later: %.2f times the work", r)
	}
}
