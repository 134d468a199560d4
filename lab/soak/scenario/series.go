package scenario

import (
	"math/rand/v2"
	"syscall"
	"time"
)

// Spans of the series.
const (
	coreCatchUp = 4 * time.Second // for which a control machine counts as lost after its return
	shortPause  = 300 * time.Millisecond
	longPause   = 2 * time.Second
	longFreeze  = 4 * time.Second
	startTime   = 400 * time.Millisecond // in which a process starts

	drainRemaining = 4 * time.Second  // that the list names, as Bounds.DrainMs of the large deployments
	drainLingers   = 12 * time.Second // at most, beyond that: long enough to be seen once all is calm
)

// Streams of random numbers, one for each series.
const (
	calmStream   = 10
	changeStream = 11 + iota
	coreStream
	workerStream
	frontStream             // and above
	crowdStream = 1_000_000 // and above
)

func (s *soak) random(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(s.config.Seed, stream)) }

func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)+1))
}

// action is one thing that is done to a process, named for the report.
type action struct {
	name string
	play func(p *process, random *rand.Rand)
}

// frontActions are what befalls dispatchers. After each the process runs again.
var frontActions = []action{
	{"stops", func(p *process, random *rand.Rand) {
		p.terminate(0)
		time.Sleep(between(random, 0, longPause))
	}},
	{"stops at once again", func(p *process, _ *rand.Rand) {
		p.terminate(0)
		p.back()
		p.terminate(0)
	}},
	{"stops while starting", func(p *process, random *rand.Rand) {
		p.kill()
		p.start(false)
		time.Sleep(between(random, 0, startTime))
		p.terminate(0)
	}},
	{"stops with more signals", func(p *process, random *rand.Rand) {
		go func() {
			for range 4 {
				time.Sleep(between(random, 0, shortPause))
				p.signal(syscall.SIGHUP, false)
				p.signal(syscall.SIGTERM, true)
			}
		}()
		p.terminate(0)
	}},
	{"stops cut short", func(p *process, random *rand.Rand) {
		p.terminate(between(random, time.Millisecond, graceS*time.Second))
	}},
	{"kills", func(p *process, random *rand.Rand) {
		p.kill()
		time.Sleep(between(random, 0, longPause))
	}},
	{"settings and hangups", func(p *process, random *rand.Rand) {
		for range 1 + random.IntN(4) {
			p.writeSettings(false)
			p.signal(syscall.SIGHUP, false)
			time.Sleep(between(random, 0, shortPause))
		}
	}},
	{"freezes", func(p *process, random *rand.Rand) {
		p.freeze()
		time.Sleep(between(random, 0, longFreeze))
		p.thaw()
	}},
	{"freezes within a stop", func(p *process, random *rand.Rand) {
		go func() {
			time.Sleep(between(random, 0, longPause))
			p.freeze()
			time.Sleep(between(random, 0, longPause))
			p.thaw()
		}()
		p.terminate(0)
	}},
}

// coreActions are what befalls control machines, one at a time.
var coreActions = []action{
	{"core stops", func(p *process, _ *rand.Rand) { p.terminate(0) }},
	{"core stops cut short", func(p *process, random *rand.Rand) {
		p.terminate(between(random, time.Millisecond, graceS*time.Second))
	}},
	{"core kills", func(p *process, random *rand.Rand) {
		p.kill()
		time.Sleep(between(random, 0, longPause))
	}},
	{"core disks lost", func(p *process, random *rand.Rand) {
		hasAll := p.soak.chainHasAll()
		p.kill()
		if hasAll { // else the host's own disk holds one up, and two would be lost at once
			p.wipe()
		} else {
			p.soak.count("core disks kept, as another is out of the chain")
		}
		time.Sleep(between(random, 0, longPause))
	}},
	{"core freezes", func(p *process, random *rand.Rand) {
		p.freeze()
		time.Sleep(between(random, 0, longFreeze))
		p.thaw()
	}},
	{"core hangups", func(p *process, random *rand.Rand) {
		p.writeSettings(false)
		p.signal(syscall.SIGHUP, false)
	}},
}

// frontSeries does one thing after the other to dispatchers of its own share, so that no two series meet at one.
func (s *soak) frontSeries(end time.Time, share int) {
	random := s.random(frontStream + uint64(share))
	own := []*process{}
	for i := share; i < len(s.fronts)-1; i += s.config.Series { // the last one is left alone
		own = append(own, s.fronts[i])
	}
	for len(own) > 0 && time.Now().Before(end) {
		time.Sleep(between(random, 0, longPause))
		s.act(own[random.IntN(len(own))], frontActions[random.IntN(len(frontActions))], random)
	}
}

func (s *soak) act(p *process, act action, random *rand.Rand) {
	s.count(act.name)
	defer s.cluster.BeginTrouble(p.name)()
	act.play(p, random)
	p.thaw()
	p.back()
}

// coreSeries does one thing after the other to control machines; now and then all of them are killed at once, each is frozen
// for a moment, or disks are lost as a view begins.
func (s *soak) coreSeries(end time.Time) {
	random := s.random(coreStream)
	for time.Now().Before(end) {
		time.Sleep(between(random, 0, longPause))
		switch random.IntN(8) {
		case 1, 2:
			s.freezeBehindBursts(random)
			continue // no machine was lost
		case 3:
			s.loseDiskOfNewView(random)
		case 0:
			s.count("core kills of all")
			end := s.cluster.BeginTrouble(s.cores[0].name) // what befalls one befalls the core
			for _, core := range s.cores {
				core.kill()
			}
			for _, core := range s.cores {
				core.back()
			}
			end()
		default:
			s.act(s.cores[random.IntN(len(s.cores))], coreActions[random.IntN(len(coreActions))], random)
		}
		time.Sleep(coreCatchUp)
	}
}

// workerSeries crashes workers, of which some lose their addresses while they are listed, lets orders go without an answer,
// lets workers drain, and hands hopeless jobs in.
func (s *soak) workerSeries(end time.Time) {
	random := s.random(workerStream)
	for time.Now().Before(end) {
		time.Sleep(between(random, shortPause, 2*longPause))
		place := random.IntN(s.config.Shape.Workers)
		switch random.IntN(5) {
		case 4:
			s.handInHopelessJobs(random)
		case 0:
			s.count("worker crashes")
			s.cluster.RestartWorker(place, between(random, 0, longPause))
		case 1:
			s.count("addresses used again")
			s.cluster.ReuseAddress(place)
		case 2:
			s.drainSome(random)
		default:
			s.count("spells of late orders")
			s.cluster.DelayCommands(longPause)
		}
	}
}

// drainSome lets up to a quarter of the workers drain at once; they leave in their own time.
func (s *soak) drainSome(random *rand.Rand) {
	workers := s.config.Shape.Workers
	for _, place := range random.Perm(workers)[:1+random.IntN(max(workers/4, 1))] {
		s.count("drains")
		s.cluster.DrainWorker(place, drainRemaining, between(random, 0, drainLingers))
	}
}

// calm lets traffic go on without disruptions, but for some more drains: only then is every process in touch, and starts at
// workers that have drained for too long are judged. Which dispatcher starts a task is not seen on real links, so all have to
// be in touch.
func (s *soak) calm() {
	s.backAll()
	random := s.random(calmStream)
	s.drainSome(random)
	time.Sleep(calmSpan)
	s.handInHopelessJobs(random)
}

// changes changes the configuration, alone and in races, slowly and in quick succession.
func (s *soak) changes(end time.Time) (taken int) {
	random := s.random(changeStream)
	for time.Now().Before(end) {
		pause := between(random, shortPause, longPause)
		change := s.cluster.Operator.Configure
		if random.IntN(3) == 0 {
			change = s.cluster.Operator.Race
		}
		for range 1 + random.IntN(6) {
			if change() {
				taken++
			}
		}
		time.Sleep(pause)
	}
	return taken
}
