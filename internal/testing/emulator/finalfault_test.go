package emulator

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// Spans of a schedule with a final fault.
const (
	beforeFault   = 4 * time.Second // of traffic, so that jobs are under way
	longestDark   = 7 * time.Second // beyond the workers' holds
	afterRecovery = 6 * time.Second // of traffic; its last second is not judged
	longestWait   = 5 * time.Second // for the moment right behind which the fault strikes
)

// recoveryBounds are Bounds.RecoveryS of the deployments that tolerate the loss of so many disks.
var recoveryBounds = map[int]time.Duration{1: 12 * time.Second, 2: 15 * time.Second}

// faultLoad returns a load that lasts until what is served behind the recovery can be judged.
func faultLoad(shape Shape) load {
	return load{beforeFault + longestDark + recoveryBounds[shape.Tolerate] + afterRecovery, 600 * time.Millisecond}
}

// strike lets a final fault come about right behind a moment, and returns once all machines are back.
type strike func(y *Cluster, random *rand.Rand, f *finalFault)

// finalFault is the only fault of its schedule. It strikes while jobs are under way, and the traffic goes on behind it.
type finalFault struct {
	strike strike
	after  moment

	// What was seen of it.
	runs, jobs  int           // under way when it struck
	acceptedIn  time.Duration // from the last machine's return to the next job that was accepted; 0: none was
	confirmedIn time.Duration // likewise, to the next change that was acknowledged
}

func (f *finalFault) play(y *Cluster, random *rand.Rand, end time.Time) {
	time.Sleep(beforeFault + time.Duration(random.IntN(1000))*time.Millisecond)
	f.strike(y, random, f)
	back := time.Now()
	accepted, confirmed := y.moments.await(jobAccepted), y.moments.await(changeAcknowledged)
	for accepted != nil || confirmed != nil {
		select {
		case <-accepted:
			f.acceptedIn, accepted = time.Since(back), nil
		case <-confirmed:
			f.confirmedIn, confirmed = time.Since(back), nil
		case <-time.After(time.Until(end)):
			accepted, confirmed = nil, nil
		}
	}
	time.Sleep(time.Until(end))
	from, to := back.Add(recoveryBounds[y.Shape.Tolerate]), end.Add(-time.Second)
	if handedIn, served := y.Checker.acceptedAmong(from, to); 4*served < handedIn || handedIn == 0 {
		y.Checker.AddViolation("RECOVER", "%d of %d jobs are accepted", served, handedIn)
	}
}

// awaitMoment waits for the moment right behind which the fault strikes, and notes what is under way then.
func (f *finalFault) awaitMoment(y *Cluster, random *rand.Rand) {
	select {
	case <-y.moments.await(f.after):
	case <-time.After(longestWait):
		y.Checker.AddViolation("RECOVER", "no %s before the fault", faultMoments[f.after])
	}
	if f.after == changeSent { // it may be acknowledged or not by then
		time.Sleep(time.Duration(5+random.IntN(396)) * time.Millisecond)
	} else {
		time.Sleep(time.Duration(random.IntN(4000)) * time.Microsecond)
	}
	f.runs, f.jobs = y.Checker.underWay()
}

// disksLostWhileAllElseIsDark empties as many disks of control machines as the shape tolerates, while every other machine,
// dispatchers too, loses power at the same moment.
func disksLostWhileAllElseIsDark(y *Cluster, random *rand.Rand, f *finalFault) {
	f.awaitMoment(y, random)
	cores := y.Cores()
	returns := []func(){}
	for _, core := range cores {
		core.PowerOff()
		returns = append(returns, core.Back)
	}
	for _, front := range y.dispatchers {
		front.PowerOff()
		returns = append(returns, front.Back)
	}
	for _, place := range random.Perm(len(cores))[:y.Shape.Tolerate] {
		cores[place].disk.Wipe()
	}
	stagger := 300 * time.Millisecond
	if random.IntN(2) == 0 {
		stagger = 2 * time.Second // some machines are back before a majority is
	}
	dark := 300*time.Millisecond + time.Duration(random.Int64N(int64(longestDark-stagger)))
	returnBetween(random, dark, dark+stagger, returns)
}

// returnBetween calls each function at some time within a span from now on.
func returnBetween(random *rand.Rand, from, to time.Duration, returns []func()) {
	var back sync.WaitGroup
	for _, comeBack := range returns {
		later := from + time.Duration(random.Int64N(int64(to-from)))
		back.Go(func() {
			time.Sleep(later)
			comeBack()
		})
	}
	back.Wait()
}

// minorityBehind lets as many control machines as the shape tolerates miss changes behind a cut. Then one of the others
// loses its disk, the rest of them is dark for a while, and the cut heals: those that are up have old state, or none.
func minorityBehind(y *Cluster, random *rand.Rand, f *finalFault) {
	cores := y.Cores()
	random.Shuffle(len(cores), func(i, j int) { cores[i], cores[j] = cores[j], cores[i] })
	minority, others := cores[:y.Shape.Tolerate], cores[y.Shape.Tolerate:]
	cutAmong(y, minority, true)
	time.Sleep(2 * time.Second) // changes are made meanwhile
	f.awaitMoment(y, random)
	for _, core := range others {
		core.PowerOff()
	}
	others[0].disk.Wipe()
	joinAll(y)
	time.Sleep(300 * time.Millisecond)
	others[0].Back()
	returns := []func(){}
	for _, core := range others[1:] {
		returns = append(returns, core.Back)
	}
	dark := 300*time.Millisecond + time.Duration(random.Int64N(int64(longestDark-3*time.Second)))
	returnBetween(random, dark, dark+300*time.Millisecond, returns)
}

// faultShapes are what final faults are played with.
var faultShapes = []Shape{
	{Cores: 3, Tolerate: 1, Dispatchers: 3, Workers: 6, Guards: true},
	{Cores: 5, Tolerate: 2, Dispatchers: 4, Workers: 6, Guards: true},
	{Cores: 9, Tolerate: 2, Dispatchers: 4, Workers: 6, Guards: true},
}

// faultMoments are what final faults strike right behind.
var faultMoments = [...]string{changeSent: "change sent", changeAcknowledged: "change acknowledged", jobAccepted: "job accepted"}

// playFinalFaults plays a fault with each shape and so many seeds. PROVE_SCHEDULES sets another number of seeds, and
// PROVE_FIRST the first.
func playFinalFaults(t *testing.T, strike strike, count int) {
	first, shapes := uint64(1), faultShapesInTest
	if text := os.Getenv("PROVE_SCHEDULES"); text != "" {
		count, _ = strconv.Atoi(text)
		shapes = len(faultShapes)
	}
	if text := os.Getenv("PROVE_FIRST"); text != "" {
		first, _ = strconv.ParseUint(text, 10, 64)
	}
	logs := io.Discard
	if os.Getenv("PROVE_LOGS") != "" {
		logs = os.Stderr
	}
	for seed := first; seed < first+uint64(count); seed++ {
		for place, shape := range faultShapes[:shapes] {
			// Each shape meets another moment with the next seed.
			fault := &finalFault{strike: strike, after: moment((seed + uint64(place)) % uint64(len(faultMoments)))}
			name := fmt.Sprintf("%d control machines, right behind a %s, seed %d", shape.Cores, faultMoments[fault.after], seed)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				result := playUnder(t, shape, seed, faultLoad(shape), fault.play, logs)
				for _, broken := range result.Broken {
					t.Error(broken)
				}
				if fault.jobs == 0 || result.Configurations == 0 {
					t.Error("nothing was under way: the schedule shows nothing")
				}
				t.Logf("%d runs, %d jobs under way; from the last return to the next job accepted %v, change acknowledged %v; %d jobs accepted, %d completed, %d changes",
					fault.runs, fault.jobs, fault.acceptedIn, fault.confirmedIn, result.Accepted, result.Completed, result.Configurations)
			})
		}
	}
}

// TestDisksLostWhileAllOtherMachinesAreDark keeps that what was acknowledged outlives the loss of as many disks as are
// tolerated while every other machine loses power, that service comes back, and that jobs go on.
func TestDisksLostWhileAllOtherMachinesAreDark(t *testing.T) {
	playFinalFaults(t, disksLostWhileAllElseIsDark, finalFaultsInTest)
}

// TestMinorityThatMissedChangesShowsNoneOfThem keeps that machines which missed changes never decide alone, though those
// that have them are dark or have lost their disks.
func TestMinorityThatMissedChangesShowsNoneOfThem(t *testing.T) {
	playFinalFaults(t, minorityBehind, finalFaultsInTest)
}

// TestLyingDisksAreFoundByAFinalFault plants disks that lose what they called synced: the judge sees that what was
// acknowledged is gone.
func TestLyingDisksAreFoundByAFinalFault(t *testing.T) {
	const most = 3 // schedules until the fault counts as not found
	for _, shape := range faultShapes[:faultShapesInTest] {
		shape.Planted = SyncsLie
		t.Run(fmt.Sprint(shape.Cores), func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= most; seed++ {
				fault := &finalFault{strike: disksLostWhileAllElseIsDark, after: changeAcknowledged}
				result := playUnder(t, shape, seed, faultLoad(shape), fault.play, io.Discard)
				if at := slices.IndexFunc(result.Broken, isLoss); at >= 0 {
					t.Logf("schedule %d: %s", seed, result.Broken[at])
					return
				}
			}
			t.Errorf("not found in %d schedules", most)
		})
	}
}

// isLoss reports whether a broken rule says that something acknowledged is gone.
func isLoss(broken string) bool {
	return strings.HasPrefix(broken, "LOST ") || strings.HasPrefix(broken, "CONFIG ")
}
