package virtualday

// This file owns the plan of one who knows everything: all jobs that will come,
// their true sizes and the workers' speeds. It shows how much a policy could win at
// the most by packing better; no real one can follow it. It must keep to what workers
// can do: whole slots, no job cut or moved, none begun before it came.

import (
	"cmp"
	"slices"
	"time"
)

// Order is in which order the plan gives jobs their places.
type Order func(a, b *Planned) int

// Planned is one job as the plan sees it.
type Planned struct {
	Class, Slots int
	Arrived, Aim time.Duration
	Work         time.Duration
	Worth        float64
}

// LargeFirst gives large jobs their places first, then small ones the gaps, each in
// the order of their coming.
func LargeFirst(a, b *Planned) int {
	return cmp.Or(cmp.Compare(b.Work*time.Duration(b.Slots)/time.Second, a.Work*time.Duration(a.Slots)/time.Second), cmp.Compare(a.Arrived, b.Arrived))
}

// Densest gives places by worth per slot time, most first.
func Densest(a, b *Planned) int {
	return cmp.Or(cmp.Compare(b.Worth/float64(b.Slots)/b.Work.Seconds(), a.Worth/float64(a.Slots)/a.Work.Seconds()), cmp.Compare(a.Arrived, b.Arrived))
}

// InTurn gives places in the order of coming.
func InTurn(a, b *Planned) int { return cmp.Compare(a.Arrived, b.Arrived) }

// change is a moment at which so many slots are taken, or given back (below 0).
type change struct {
	at    time.Duration
	slots int
}

// Clairvoyant places the jobs of a calm day one after the other, each where it ends
// first among what is placed already, and only if that is in time.
func Clairvoyant(cfg Config, order Order) *Result {
	d := newDay(cfg)
	var all []*Planned
	for _, j := range d.draw() {
		c := cfg.Classes[j.class]
		all = append(all, &Planned{j.class, c.Slots, j.arrived, j.aim, j.work, c.Value})
	}
	res := &Result{Classes: make([]Score, len(cfg.Classes))}
	slices.SortStableFunc(all, order)
	lines := make([][]change, cfg.Workers)
	for _, p := range all {
		s := &res.Classes[p.Class]
		s.Jobs++
		s.Of += p.Worth
		best, bestEnd, bestAt := -1, p.Aim-2*cfg.Delay+1, time.Duration(0)
		for i := range lines {
			slots := cfg.Slots[i%len(cfg.Slots)]
			run := time.Duration(float64(p.Work) / cfg.Speeds[i%len(cfg.Speeds)])
			if at, ok := hole(lines[i], slots-p.Slots, p.Arrived+cfg.Delay, run, bestEnd-run); ok && at+run < bestEnd {
				best, bestAt, bestEnd = i, at, at+run
			}
		}
		if best < 0 {
			s.Failed++
			continue
		}
		s.InTime++
		s.Worth += p.Worth
		lines[best] = put(put(lines[best], change{bestAt, p.Slots}), change{bestEnd, -p.Slots})
	}
	return res
}

func put(line []change, c change) []change {
	i, _ := slices.BinarySearchFunc(line, c, func(a, b change) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.slots, b.slots)) })
	return slices.Insert(line, i, c)
}

// hole is the first moment from a given one on, before another, from which no more
// than so many slots are taken for a time.
func hole(line []change, most int, from, run, before time.Duration) (time.Duration, bool) {
	if most < 0 || from >= before {
		return 0, false
	}
	used, at := 0, from // at: from when on there has been room
	free := true
	for _, c := range line {
		if free && c.at >= at+run {
			break
		}
		used += c.slots
		switch fits := used <= most; {
		case fits && !free:
			free, at = true, max(at, c.at)
		case !fits:
			free = false
		}
	}
	return at, at < before
}
