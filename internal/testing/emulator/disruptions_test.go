package emulator

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Spans that the deployments' settings name.
const (
	catchUp  = 4 * time.Second  // for which a machine counts as lost after its return
	longCut  = 9 * time.Second  // a worker is cut off so long that its hold is over
	coldCut  = 20 * time.Second // a control machine is cut off so long
	changing = 12 * time.Second // changes come in quick succession for so long
)

// disruption is one kind of what befalls a cluster. Play returns once it is over, but for the time that machines
// count as lost afterwards.
type disruption struct {
	name string
	play func(y *Cluster, random *rand.Rand, span time.Duration)
}

func anyOf[T any](random *rand.Rand, list []T) T { return list[random.IntN(len(list))] }

func anyWorker(y *Cluster, random *rand.Rand) string {
	return fmt.Sprint("worker-", random.IntN(y.Shape.Workers)+1)
}

// disruptions are all kinds. None takes more disks at once than the shape is to bear.
var disruptions = []disruption{
	{"core killed", func(y *Cluster, random *rand.Rand, span time.Duration) {
		core := anyOf(random, y.Cores())
		core.Kill()
		time.Sleep(span / 4)
		core.Back()
	}},
	{"core without power", func(y *Cluster, random *rand.Rand, span time.Duration) {
		core := anyOf(random, y.Cores())
		core.PowerOff()
		time.Sleep(span)
		core.Back()
	}},
	{"core disk lost", func(y *Cluster, random *rand.Rand, span time.Duration) {
		core := anyOf(random, y.Cores())
		core.PowerOff()
		core.disk.Wipe()
		time.Sleep(span)
		core.Back()
	}},
	{"core cut off", func(y *Cluster, random *rand.Rand, span time.Duration) {
		core := anyOf(random, y.Cores())
		cutOff(y, core.name, random.IntN(2) == 0, true)
		time.Sleep(span)
		cutOff(y, core.name, true, false)
	}},
	{"all cores without power", func(y *Cluster, _ *rand.Rand, span time.Duration) {
		cores := y.Cores()
		for _, core := range cores {
			core.PowerOff()
		}
		time.Sleep(span / 2)
		for _, core := range cores {
			core.Back()
		}
	}},
	{"all cores killed", func(y *Cluster, _ *rand.Rand, span time.Duration) {
		cores := y.Cores()
		for _, core := range cores {
			core.Kill()
		}
		time.Sleep(span / 8)
		for _, core := range cores {
			core.Back()
		}
	}},
	{"core replaced", func(y *Cluster, random *rand.Rand, span time.Duration) {
		y.ReplaceCore(random.IntN(y.Shape.Cores), span/4)
	}},
	{"dispatcher killed", func(y *Cluster, random *rand.Rand, span time.Duration) {
		front := anyOf(random, y.dispatchers)
		front.Kill()
		time.Sleep(span / 4)
		front.Back()
	}},
	{"dispatcher without power", func(y *Cluster, random *rand.Rand, span time.Duration) {
		front := anyOf(random, y.dispatchers)
		front.PowerOff()
		time.Sleep(span)
		front.Back()
	}},
	{"dispatcher cut off from the core", func(y *Cluster, random *rand.Rand, span time.Duration) {
		front := anyOf(random, y.dispatchers)
		y.CutDispatcher(front.name, true)
		time.Sleep(span)
		y.CutDispatcher(front.name, false)
	}},
	{"worker crashed", func(y *Cluster, random *rand.Rand, span time.Duration) {
		y.list.Restart(random.IntN(y.Shape.Workers), span)
	}},
	{"worker crashed, and its address used again", func(y *Cluster, random *rand.Rand, span time.Duration) {
		y.list.Reuse(random.IntN(y.Shape.Workers))
		time.Sleep(reuseAfter + span)
	}},
	{"worker cut off", func(y *Cluster, random *rand.Rand, span time.Duration) {
		worker := anyWorker(y, random)
		cutOff(y, worker, random.IntN(2) == 0, true)
		time.Sleep(span)
		cutOff(y, worker, true, false)
	}},
	{"orders carried out late", func(y *Cluster, _ *rand.Rand, span time.Duration) { y.DelayCommands(span) }},
	{"late orders at a worker that is cut off beyond its hold", func(y *Cluster, random *rand.Rand, _ time.Duration) {
		worker := anyWorker(y, random)
		y.DelayCommands(2 * time.Second)
		time.Sleep(time.Second)
		cutOff(y, worker, true, true)
		time.Sleep(longCut)
		cutOff(y, worker, true, false)
	}},
	{"core cut off from the core for 20 s", func(y *Cluster, random *rand.Rand, _ time.Duration) {
		// Operators and dispatchers reach both sides, and write on both.
		cutAmong(y, []*core{anyOf(random, y.Cores())}, true)
		time.Sleep(coldCut)
		joinAll(y)
	}},
	{"core cut into halves", func(y *Cluster, random *rand.Rand, span time.Duration) {
		cores := y.Cores()
		random.Shuffle(len(cores), func(i, j int) { cores[i], cores[j] = cores[j], cores[i] })
		cutAmong(y, cores[:len(cores)/2], true)
		time.Sleep(span + time.Second)
		joinAll(y)
	}},
	{"core replaced in order, then a disk lost", func(y *Cluster, random *rand.Rand, span time.Duration) {
		place := random.IntN(y.Shape.Cores)
		y.ReplaceGracefully(place, time.Second)
		time.Sleep(catchUp)
		loseDisk(y, (place+1+random.IntN(y.Shape.Cores-1))%y.Shape.Cores, span)
	}},
	{"core replaced, then a disk lost", func(y *Cluster, random *rand.Rand, span time.Duration) {
		place := random.IntN(y.Shape.Cores)
		y.ReplaceCore(place, span/4)
		if y.Shape.Tolerate < 2 { // with two to be borne the second loss comes at once
			time.Sleep(catchUp)
		}
		loseDisk(y, (place+1+random.IntN(y.Shape.Cores-1))%y.Shape.Cores, span)
	}},
	{"hundreds of changes round a restart", func(y *Cluster, random *rand.Rand, span time.Duration) {
		y.hurry.Store(true)
		time.Sleep(changing / 4)
		core := anyOf(random, y.Cores())
		core.PowerOff()
		time.Sleep(changing / 2)
		core.Back()
		time.Sleep(changing / 4)
		y.hurry.Store(false)
	}},
	{"disk full at the start", func(y *Cluster, random *rand.Rand, span time.Duration) {
		core := anyOf(random, y.Cores())
		clear := core.FillDisk()
		core.Kill()
		if random.IntN(2) == 0 {
			core.disk.Wipe() // it has to make its files
		}
		core.Back()
		time.Sleep(span)
		clear()
	}},
	{"workers drain and leave", func(y *Cluster, random *rand.Rand, span time.Duration) {
		drainSome(y, random)
		time.Sleep(span)
	}},
	{"workers drain while the list's reader is killed", func(y *Cluster, random *rand.Rand, span time.Duration) {
		core := listReader(y, random)
		drainAround(y, random, func() {
			core.Kill()
			time.Sleep(span / 4)
			core.Back()
		})
	}},
	{"workers drain while the list's reader is cut off", func(y *Cluster, random *rand.Rand, span time.Duration) {
		core := listReader(y, random)
		drainAround(y, random, func() {
			cutOff(y, core.name, random.IntN(2) == 0, true)
			time.Sleep(span)
			cutOff(y, core.name, true, false)
		})
	}},
	{"workers drain while the list's reader is frozen", func(y *Cluster, random *rand.Rand, span time.Duration) {
		core := listReader(y, random)
		drainAround(y, random, func() {
			thaw := core.Freeze()
			time.Sleep(span)
			thaw()
		})
	}},
	{"workers drain while the list's reader does not reach the platform", func(y *Cluster, random *rand.Rand, span time.Duration) {
		core := listReader(y, random)
		drainAround(y, random, func() {
			cutFromPlatform(y, core.name, true)
			time.Sleep(span)
			cutFromPlatform(y, core.name, false)
		})
	}},
	{"core frozen", func(y *Cluster, random *rand.Rand, span time.Duration) {
		thaw := anyOf(random, y.Cores()).Freeze()
		time.Sleep(span)
		thaw()
	}},
	{"dispatcher frozen", func(y *Cluster, random *rand.Rand, span time.Duration) {
		thaw := anyOf(random, y.dispatchers).Freeze()
		time.Sleep(span)
		thaw()
	}},
	{"dispatcher frozen beyond the holds of its workers", func(y *Cluster, random *rand.Rand, _ time.Duration) {
		thaw := anyOf(random, y.dispatchers).Freeze()
		time.Sleep(longCut)
		thaw()
	}},
	{"all cores frozen", func(y *Cluster, _ *rand.Rand, span time.Duration) {
		for _, core := range y.Cores() {
			defer core.Freeze()()
		}
		time.Sleep(span / 2)
	}},
	{"every connection reset", func(y *Cluster, random *rand.Rand, span time.Duration) {
		for range 1 + random.IntN(4) {
			y.Network.Reset()
			time.Sleep(span / 8)
		}
	}},
	{"disks lost while all other machines are dark", func(y *Cluster, random *rand.Rand, span time.Duration) {
		cores := y.Cores()
		for _, core := range cores {
			core.PowerOff()
		}
		for _, front := range y.dispatchers {
			front.PowerOff()
		}
		for _, place := range random.Perm(len(cores))[:y.Shape.Tolerate] {
			cores[place].disk.Wipe()
		}
		time.Sleep(span / 2)
		for _, core := range cores {
			core.Back()
		}
		for _, front := range y.dispatchers {
			front.Back()
		}
	}},
	{"heads killed, one after the other", func(y *Cluster, random *rand.Rand, span time.Duration) {
		for range 4 {
			if head := y.head(); head != nil {
				head.Kill()
				time.Sleep(span / 8)
				head.Back()
			}
			time.Sleep(catchUp)
		}
	}},
	{"head frozen, and again", func(y *Cluster, random *rand.Rand, span time.Duration) {
		for range 2 {
			if head := y.head(); head != nil {
				thaw := head.Freeze()
				time.Sleep(span)
				thaw()
			}
			time.Sleep(catchUp)
		}
	}},
	{"core goes back to the former build, and on again", func(y *Cluster, random *rand.Rand, span time.Duration) {
		core := anyOf(random, y.Cores())
		core.changeBuild(true, random.IntN(2) == 0)
		time.Sleep(span)
		core.changeBuild(false, random.IntN(2) == 0)
	}},
	{"cores stalled for a moment, each behind a burst of short jobs", stallBehindBursts},
	{"hopeless jobs before long ones of the same label", func(y *Cluster, random *rand.Rand, span time.Duration) {
		y.sendBurst(random, y.HopelessBurst(random), false)
		time.Sleep(span)
	}},
	{"disk lost before the next view is active", loseDiskOfNewView},
	{"cores stopped in order, in turn", func(y *Cluster, random *rand.Rand, span time.Duration) {
		for _, core := range y.Cores() {
			core.Terminate()
			time.Sleep(span / 8)
			core.Back()
			time.Sleep(catchUp)
		}
	}},
}

// stallBehindBursts hands bursts of short jobs in at all dispatchers, and stalls each control machine in turn right behind one. What
// the others commit meanwhile comes to the stalled one as one batch.
func stallBehindBursts(y *Cluster, random *rand.Rand, _ time.Duration) {
	for _, core := range y.Cores() {
		y.sendBurst(random, y.ShortBurst(random), true)
		time.Sleep(time.Duration(random.Int64N(int64(burstSpan))))
		resume := core.Stall()
		time.Sleep(briefStall)
		resume()
		time.Sleep(time.Second)
	}
}

// Spans of drains.
const (
	drainRemaining = 4 * time.Second // that the list names, as the large deployments' DrainMs
	drainLingers   = 8 * time.Second // at most, beyond that
)

// drainSome lets up to half of the workers drain at once. They leave in their own time.
func drainSome(y *Cluster, random *rand.Rand) {
	for _, place := range random.Perm(y.Shape.Workers)[:1+random.IntN(y.Shape.Workers/2)] {
		y.DrainWorker(place, drainRemaining, time.Duration(random.Int64N(int64(drainLingers))))
	}
}

// drainAround lets some workers drain just before a trouble, and others while it lasts.
func drainAround(y *Cluster, random *rand.Rand, trouble func()) {
	during := rand.New(rand.NewPCG(random.Uint64(), 0))
	drainSome(y, random)
	time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
	time.AfterFunc(listLag, func() { drainSome(y, during) })
	trouble()
}

// listReader returns the control machine that reads the platform's list, or any while none does.
func listReader(y *Cluster, random *rand.Rand) *core {
	cores := y.Cores()
	for _, core := range cores {
		if core.name == y.list.lastCaller() {
			return core
		}
	}
	return anyOf(random, cores)
}

// cutFromPlatform cuts a machine off from the platform alone, or joins them again.
func cutFromPlatform(y *Cluster, name string, cut bool) {
	y.Network.Cut(name, cloudName, cut)
	y.Network.Cut(cloudName, name, cut)
}

func loseDisk(y *Cluster, place int, span time.Duration) {
	core := y.Cores()[place]
	core.PowerOff()
	core.disk.Wipe()
	time.Sleep(span)
	core.Back()
}

// cutAmong cuts some control machines off from the other ones.
func cutAmong(y *Cluster, some []*core, cut bool) {
	inside := map[string]bool{}
	for _, core := range some {
		inside[core.name] = true
	}
	for _, one := range y.Cores() {
		for _, other := range y.Cores() {
			if inside[one.name] != inside[other.name] {
				y.Network.Cut(one.name, other.name, cut)
			}
		}
	}
}

// joinAll joins all control machines.
func joinAll(y *Cluster) {
	for _, one := range y.Cores() {
		for _, other := range y.Cores() {
			y.Network.Cut(one.name, other.name, false)
		}
	}
}

// cutOff cuts a machine off from all others, in both directions or in one.
func cutOff(y *Cluster, name string, both, cut bool) {
	others := []string{}
	for _, c := range y.Cores() {
		others = append(others, c.name)
	}
	for _, d := range y.dispatchers {
		others = append(others, d.name)
	}
	for _, other := range others {
		if other != name {
			y.Network.Cut(name, other, cut)
			if both {
				y.Network.Cut(other, name, cut)
			}
		}
	}
}

// tally counts how often each kind of disruption came about, over all schedules.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
}

var played = tally{counts: map[string]int{}}

func (t *tally) add(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[name]++
}

// leastDisruptions is how many disruptions a schedule plays at least.
const leastDisruptions = 4

// faults plays disruptions one after the other during the traffic: kinds in turn, so that few schedules bring all
// about, and kinds at random.
func faults(y *Cluster, random *rand.Rand, end time.Time) {
	next := int(y.seed) * leastDisruptions / 2
	for count := 0; count < leastDisruptions || time.Now().Before(end); count++ {
		time.Sleep(time.Duration(300+random.IntN(2500)) * time.Millisecond)
		span := time.Duration(500+random.IntN(4000)) * time.Millisecond
		kind := disruptions[random.IntN(len(disruptions))]
		if count%2 == 0 {
			kind = disruptions[next%len(disruptions)]
			next++
		}
		began := time.Since(y.startedAt)
		kind.play(y, random, span)
		played.add(kind.name)
		y.disruptions = append(y.disruptions, DisruptionRecord{Name: kind.name, Began: began, Ended: time.Since(y.startedAt)})
		// A machine counts as lost a while after it is back; with two to be borne the next may be lost before.
		time.Sleep(catchUp / time.Duration(y.Shape.Tolerate))
	}
}
