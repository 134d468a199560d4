package emulator

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Spans of a schedule.
const (
	warmUp  = 4 * time.Second
	traffic = 14 * time.Second
	drain   = 100 * time.Second // three steps of ten seconds, each failing once, behind a cut-off worker
)

// retentionOneIn is how many schedules are played for each one of trouble of heads, by which the retention of jobs is judged.
const retentionOneIn = 4

// outcome is what a schedule has shown.
type outcome struct {
	ScheduleReport
	calls []ConfigCall
}

// provoke plays what the planted faults show in: orders without an answer at half of the workers, which are cut
// off right after for longer than their holds, one that drains, and losses of power of all control machines.
func provoke(y *Cluster, random *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		y.DelayCommands(1500 * time.Millisecond)
		first := random.IntN(2)
		y.DrainWorker(1-first, drainRemaining, drainLingers) // it is not cut off
		time.Sleep(time.Second)
		for place := first; place < y.Shape.Workers; place += 2 {
			cutOff(y, fmt.Sprint("worker-", place+1), true, true)
		}
		time.Sleep(longCut)
		for place := first; place < y.Shape.Workers; place += 2 {
			cutOff(y, fmt.Sprint("worker-", place+1), true, false)
		}
		for _, c := range y.Cores() {
			c.PowerOff()
		}
		time.Sleep(time.Second)
		for _, c := range y.Cores() {
			c.Back()
		}
		time.Sleep(2 * time.Second)
	}
}

// troubles plays faults until the given time.
type troubles func(y *Cluster, random *rand.Rand, end time.Time)

// playing bounds how many schedules are played at once: other packages' tests run beside them, and some of
// those wait for real time. Where a number of schedules is asked for, they have the machine to themselves.
var playing = make(chan struct{}, atOnce())

func atOnce() int {
	if os.Getenv("PROVE_SCHEDULES") != "" {
		return runtime.GOMAXPROCS(0)
	}
	return 3
}

func play(t *testing.T, shape Shape, seed uint64, trouble troubles, logs io.Writer) outcome {
	return playUnder(t, shape, seed, load{traffic, 300 * time.Millisecond}, trouble, logs)
}

// load is how long a schedule's traffic lasts, and the longest pause between two jobs.
type load struct{ lasts, longestPause time.Duration }

// playUnder plays a schedule under a load of its own.
func playUnder(t *testing.T, shape Shape, seed uint64, l load, trouble troubles, logs io.Writer) (result outcome) {
	playing <- struct{}{}
	defer func() { <-playing }()
	synctest.Test(t, func(t *testing.T) {
		y := NewCluster(shape, NewNetwork(), seed, logs)
		y.Start()
		y.Operator.Configure()
		time.Sleep(warmUp)
		end := time.Now().Add(l.lasts)
		done := make(chan struct{})
		go func() {
			defer close(done)
			trouble(y, rand.New(rand.NewPCG(seed, 3)), end)
		}()
		random := rand.New(rand.NewPCG(seed, 4))
		clients := 0
		ended := make(chan struct{}, 10000)
		operators := playOperators(y, seed, done)
		cancelling := playCancelling(y, seed, end)
		for time.Now().Before(end) {
			clients++
			own := rand.New(rand.NewPCG(seed, uint64(clients+100)))
			go func() {
				y.Client(own, end.Add(drain))
				ended <- struct{}{}
			}()
			time.Sleep(time.Duration(random.IntN(int(l.longestPause.Milliseconds()))) * time.Millisecond)
		}
		<-done
		stopWatch := y.WatchIdle()
		result.Configurations = <-operators
		for range clients {
			<-ended
		}
		y.bursts.Wait()
		<-cancelling
		stopWatch()
		y.Operator.ReadBack()
		result.calls = y.Operator.History.Calls()
		result.Accepted, result.Completed = y.Checker.Finish()
		result.Broken, result.ExcusedStarts = y.Checker.Violations(), y.Checker.ExcusedStarts()
		result.Seed, result.Disruptions = seed, y.disruptions
		y.Stop()
		time.Sleep(20 * time.Second) // orders under way and timers run out
	})
	return result
}

// cancelPause is the longest pause between two clients of a schedule that cancel their jobs.
const cancelPause = 900 * time.Millisecond

// playCancelling lets clients hand jobs in and cancel them until the given time; the channel is closed once all have ended.
func playCancelling(y *Cluster, seed uint64, end time.Time) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		random := rand.New(rand.NewPCG(seed, 11))
		var clients sync.WaitGroup
		for time.Now().Before(end) {
			own := rand.New(rand.NewPCG(random.Uint64(), 12))
			clients.Go(func() { y.CancellingClient(own) })
			time.Sleep(time.Duration(random.Int64N(int64(cancelPause))))
		}
		clients.Wait()
	}()
	return ended
}

// playOperators changes the configuration until the disruptions are over, alone and in races, and reads it
// meanwhile; the channel gets the number of changes that were taken.
func playOperators(y *Cluster, seed uint64, over <-chan struct{}) <-chan int {
	taken := make(chan int, 1)
	random := rand.New(rand.NewPCG(seed, 6))
	wait := func(span time.Duration) bool {
		select {
		case <-over:
			return false
		case <-time.After(span):
			return true
		}
	}
	var reads sync.WaitGroup
	reads.Go(func() {
		own := rand.New(rand.NewPCG(seed, 7))
		for wait(700 * time.Millisecond) {
			y.Operator.Read(own)
		}
	})
	go func() {
		count, pause := 0, time.Duration(0)
		for wait(pause) {
			change := y.Operator.Configure
			pause = 1500 * time.Millisecond
			if y.hurry.Load() {
				pause = 20 * time.Millisecond
			} else if random.IntN(3) == 0 {
				change = y.Operator.Race
			}
			if change() {
				count++
			}
		}
		reads.Wait()
		taken <- count
	}()
	return taken
}

func shapeOf(seed uint64) Shape {
	if seed%8 == 5 {
		return Shape{Cores: 9, Tolerate: 2, Dispatchers: 4, Workers: 6, Guards: true, DrainMs: drainMs}
	}
	if seed%4 == 3 {
		return Shape{Cores: 5, Tolerate: 2, Dispatchers: 4, Workers: 6, Guards: true, DrainMs: drainMs}
	}
	return Shape{Cores: 3, Tolerate: 1, Dispatchers: 3, Workers: 6, Guards: seed%2 == 0, DrainMs: drainMs}
}

// TestSchedules plays the whole system under seeded faults; no rule may be broken.
func TestSchedules(t *testing.T) {
	count, first := schedulesInTest, uint64(1)
	if text := os.Getenv("PROVE_SCHEDULES"); text != "" {
		count, _ = strconv.Atoi(text)
	}
	if text := os.Getenv("PROVE_FIRST"); text != "" {
		first, _ = strconv.ParseUint(text, 10, 64)
	}
	for seed := first; seed < first+uint64(count); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			logs := io.Discard
			if os.Getenv("PROVE_LOGS") != "" {
				logs = os.Stderr
			}
			result := play(t, shapeOf(seed), seed, faults, logs)
			if result.Accepted == 0 || result.Configurations == 0 {
				result.Broken = append(result.Broken, "nothing was served: the schedule shows nothing")
			}
			if seed%retentionOneIn == 0 {
				result.Broken = append(result.Broken, playRetention(t, seed, anyPause, anyHeadTrouble...)...)
			}
			for _, broken := range result.Broken {
				t.Error(broken)
			}
			t.Logf("%d accepted, %d completed, %d configurations, %d starts at drained workers not judged", result.Accepted,
				result.Completed, result.Configurations, result.ExcusedStarts)
			if os.Getenv("PROVE_REPORT") != "" {
				fmt.Println(result.Line())
			}
		})
	}
	t.Cleanup(func() { reportPlayed(t, count) })
}

// reportPlayed prints how often each kind of disruption came about; with as many schedules as there are kinds, one
// that never did fails.
func reportPlayed(t *testing.T, schedules int) {
	for _, kind := range disruptions {
		t.Logf("%5d  %s", played.counts[kind.name], kind.name)
		if schedules >= len(disruptions) && played.counts[kind.name] == 0 {
			t.Errorf("%q never came about", kind.name)
		}
	}
}

// TestPlantedFaults shows that the judge finds what the system relies on and machines may break, by the rules
// that it breaks; under the same troubles sound machines break none.
func TestPlantedFaults(t *testing.T) {
	const (
		most  = 12 // schedules until a fault counts as not found
		sound = 1  // schedules without one: each takes some 40 s under the race detector
	)
	for name, c := range map[string]struct {
		planted Fault
		rules   []string
	}{
		"none":          {NoFault, nil},
		"syncs lie":     {SyncsLie, []string{"LOST", "CONFIG"}},
		"drains unseen": {DrainsUnseen, []string{"DRAIN"}},
		"holds outlast": {HoldsOutlast, []string{"TWICE", "LIMIT"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if c.planted == NoFault {
				for seed := uint64(1); seed <= sound; seed++ {
					for _, broken := range play(t, shapeOf(seed), seed, provoke, io.Discard).Broken {
						t.Errorf("schedule %d: %s", seed, broken)
					}
				}
				return
			}
			for seed := uint64(1); seed <= most; seed++ {
				shape := shapeOf(seed)
				shape.Planted = c.planted
				for _, broken := range play(t, shape, seed, provoke, io.Discard).Broken {
					rule, _, _ := strings.Cut(broken, " ")
					if slices.Contains(c.rules, rule) {
						t.Logf("schedule %d: %s", seed, broken)
						return
					}
				}
			}
			t.Errorf("not found in %d schedules", most)
		})
	}
}

// freezeHeads freezes all control machines for a moment, and then each of them in turn for longer than a session may be
// silent, so that one of them is the head.
func freezeHeads(y *Cluster, _ *rand.Rand, end time.Time) {
	const longerThanASession, pause = 2300 * time.Millisecond, 5 * time.Second
	var thaws []func()
	for _, core := range y.Cores() {
		thaws = append(thaws, core.Freeze())
	}
	time.Sleep(longerThanASession)
	for _, thaw := range thaws {
		thaw()
	}
	for time.Now().Before(end) {
		for _, core := range y.Cores() {
			time.Sleep(pause)
			thaw := core.Freeze()
			time.Sleep(longerThanASession)
			thaw()
		}
	}
}

// A regression test: a head that was frozen, and woke as if no time had passed, ended all sessions, of which no dispatcher
// heard; no job went on any more.
func TestFrozenHeadsKeepJobsGoing(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 3; seed++ {
		result := play(t, shapeOf(seed), seed, freezeHeads, io.Discard)
		for _, broken := range result.Broken {
			t.Errorf("schedule %d: %s", seed, broken)
		}
	}
}

// playOnly returns troubles that play one kind of disruption again and again.
func playOnly(play func(y *Cluster, random *rand.Rand, span time.Duration)) troubles {
	return func(y *Cluster, random *rand.Rand, end time.Time) {
		for time.Now().Before(end) {
			play(y, random, time.Second)
		}
	}
}

// TestBriefStallsBehindBurstsLoseNoTask guards against accepted jobs that stand still because a dispatcher gets older states
// of tasks behind the job's later one (review/6): control machines stand still for 0.18 s right behind bursts of jobs with
// short tasks.
func TestBriefStallsBehindBurstsLoseNoTask(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 3; seed++ {
		shape := Shape{Cores: 3, Tolerate: 1, Dispatchers: 6, Workers: 9, Guards: true, DrainMs: drainMs}
		result := play(t, shape, seed, playOnly(stallBehindBursts), io.Discard)
		for _, broken := range result.Broken {
			t.Errorf("schedule %d: %s", seed, broken)
		}
	}
}

// TestHopelessJobsKeepNobodyFromIdleWorkers guards against jobs with nothing running beside idle workers, because a hopeless
// job has put these into backoff (review/7).
func TestHopelessJobsKeepNobodyFromIdleWorkers(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 3; seed++ {
		result := play(t, shapeOf(seed), seed, func(y *Cluster, random *rand.Rand, end time.Time) {
			time.Sleep(time.Until(end) - time.Second)
			y.sendBurst(random, y.HopelessBurst(random), false)
			time.Sleep(time.Second)
		}, io.Discard)
		for _, broken := range result.Broken {
			t.Errorf("schedule %d: %s", seed, broken)
		}
	}
}
