package dispatch

import (
	"math"
	"slices"
	"testing"
	"time"
)

// A dispatcher with a home share of a warming worker may use that share of the worker's slow-start budget,
// others nothing. An equal split among all dispatchers left new workers idle during their warm-up.
func TestWarmingWorkerIsUsedByHomeDispatchers(t *testing.T) {
	const n = 20
	users := 0
	for me := range n {
		s := testSettings()
		s.Fleet.Index, s.Fleet.Count = me, n
		d, out := newDispatcher(s, uint64(me)), &recorder{}
		var list []Worker
		for i := range n {
			list = append(list, Worker{ID: WorkerID(i + 1), Weight: 1})
		}
		list[0].Launched = time.Hour
		d.UpdateWorkers(time.Hour, ListCached, list, out)
		warming, sent := d.fleet.workers[1], 0
		for now := time.Hour; now < time.Hour+5*time.Second; now += 25 * ms {
			d.now = now
			if r := (&request{Request: Request{Slots: 1, WorkHint: 100 * ms}}); d.slowStartAllows(warming, r) {
				d.spendSlowStart(warming, r)
				sent++
			}
		}
		if sent > 0 {
			users++
		}
		if warming.home.share == 0 && sent > 0 {
			t.Errorf("dispatcher %d has no home share of the warming worker and sent it %d jobs, want 0", me, sent)
		}
		if warming.home.share == 1 && sent < 15 {
			t.Errorf("the only dispatcher with a home share sent %d jobs in 5 s, want at least 15", sent)
		}
	}
	if users == 0 {
		t.Error("no dispatcher sent a job to the warming worker")
	}
}

// With few dispatchers, each of them sends jobs to a reinstated worker that warms up, also without a home
// share of it: the only dispatcher with a home share may have ejected the worker, or be down. A rule
// by home shares alone left the worker unused during its warm-up although no other worker could run the jobs.
func TestReinstatedWorkerIsUsedByAll(t *testing.T) {
	const workers = 6
	for _, broadcasts := range []bool{false, true} {
		for n := 1; n <= 3; n++ {
			for me := range n {
				for reinstated := range workers {
					s := testSettings()
					s.Fleet.Index, s.Fleet.Count, s.Fleet.Peers, s.Classes[0].WorkerKind = me, n, broadcasts, 1
					d, out := mustNew(t, s, uint64(me)), &recorder{}
					var list []Worker
					for i := range workers {
						list = append(list, Worker{ID: WorkerID(i + 1), Weight: 1})
					}
					list[reinstated].Kind = 1 // no other worker can run the jobs
					d.UpdateWorkers(0, ListCached, list, out)
					list[reinstated].Launched = time.Minute
					d.UpdateWorkers(time.Minute, ListOverride, list[reinstated:reinstated+1], out)
					out.take()
					sent := 0
					for now, id := time.Minute, RequestID(1); now < time.Minute+3*time.Second; now += 25 * ms {
						if id++; id%8 == 0 {
							d.Arrive(now, Request{ID: id, TimeLeft: 5 * time.Second, WorkHint: 100 * ms, Slots: 1}, out)
						}
						d.Timer(now, 0, out)
						for _, a := range out.take() {
							if a.kind == "send" {
								sent++
								d.AttemptEnded(now, Outcome{ID: a.id, Worker: a.worker, Code: OK, Answered: true}, out)
							}
						}
					}
					if sent == 0 {
						t.Errorf("dispatcher %d of %d, broadcasts %v: worker %d received no job in 3 s", me, n, broadcasts, reinstated+1)
					}
				}
			}
		}
	}
}

// The load from all dispatchers together on a warming worker stays below the crash load, with one dispatcher
// or many, and also after a restart of the worker.
func TestSlowStartBudgetHoldsForAllDispatchers(t *testing.T) {
	const restartAfter = 5 * time.Second // time from the worker's first start to its second
	for _, n := range []int{1, 2, 4, 5, 20, 30, 250, 300} {
		var sent []time.Duration
		for me := range n {
			s := testSettings()
			s.Fleet.Index, s.Fleet.Count = me, n
			d, out := mustNew(t, s, uint64(me)), &recorder{}
			start := time.Hour
			d.UpdateWorkers(start, ListCached, []Worker{{ID: 1, Weight: 1, Launched: start}}, out)
			id, running := RequestID(0), map[time.Duration]action{}
			for now := start; now < start+restartAfter+8*time.Second; now += 25 * ms {
				if now == start+restartAfter { // the worker restarts
					d.UpdateWorkers(now, ListDelta, []Worker{{ID: 1, Weight: 1, Launched: now}}, out)
				}
				id++
				if a, ok := running[now]; ok {
					d.AttemptEnded(now, Outcome{ID: a.id, Worker: a.worker, Code: OK, Answered: true}, out)
				}
				d.Arrive(now, Request{ID: id, TimeLeft: 2 * time.Second, WorkHint: 100 * ms}, out)
				d.Timer(now, 0, out)
				for _, a := range out.take() {
					if a.kind == "send" {
						sent = append(sent, now-start)
						d.Notify(now, Notification{ID: a.id, Worker: a.worker, Kind: NotificationStarted}, out)
						running[now+100*ms] = a
					}
				}
				out.take()
			}
		}
		s := testSettings()
		for from := time.Duration(0); from < restartAfter+7*time.Second; from += 100 * ms {
			work := 0.0
			for _, at := range sent {
				if at >= from && at < from+s.SlowStart.CrashLoadTime {
					work += 0.1
				}
			}
			age := from
			if from+s.SlowStart.CrashLoadTime > restartAfter { // jobs sent to the former incarnation do not count
				age = max(from-restartAfter, 0)
			}
			share := s.SlowStart.Share + (1-s.SlowStart.Share)*age.Seconds()/s.SlowStart.Time.Seconds()
			if limit := s.SlowStart.CrashLoadFactor * share * s.SlowStart.CrashLoadTime.Seconds(); work > limit {
				t.Fatalf("%d dispatchers sent %.2f slot-seconds from %v on, want at most %.2f", n, work, from, limit)
			}
		}
		if len(sent) == 0 {
			t.Fatalf("%d dispatchers sent no job in 13 s", n)
		}
	}
}

// Each of 40 dispatchers sends to a warming worker according to the part of its budget that the fleet has
// granted. The parts add up to 1, so all dispatchers together stay below the crash load, and a dispatcher
// with part 0 sends nothing.
func TestSlowStartBudgetFollowsGrantedParts(t *testing.T) {
	const n = 40
	s := testSettings()
	s.Fleet.Count = n
	launched := 100 * time.Second
	var sent []time.Duration
	sentWithoutPart := 0
	sum := 0.0
	for me := range n {
		s.Fleet.Index = me
		d, out := mustNew(t, s, uint64(me+1)), &recorder{}
		part := 2 * float64(me) / (n * (n - 1)) // 0 for the first dispatcher, the largest for the last
		sum += part
		d.SetWorkerLimits(launched-time.Second, 0, part, out)
		d.UpdateWorkers(launched, ListFull, []Worker{{ID: 9, State: Ready, Weight: 1, Launched: launched}}, out)
		out.take()
		id := RequestID(0)
		for now := launched; now < launched+4*time.Second; now += 20 * ms {
			id++
			d.Arrive(now, Request{ID: id, TimeLeft: 30 * ms}, out)
			for _, a := range out.take() {
				if a.kind != "send" {
					continue
				}
				if sent = append(sent, now); me == 0 {
					sentWithoutPart++
				}
				d.AttemptEnded(now+10*ms, Outcome{ID: a.id, Worker: 9, Code: OK, Answered: true}, out)
				out.take()
			}
		}
	}
	slices.Sort(sent)
	run := 0.2 // expected run time, in seconds, before any job has run
	for i, at := range sent {
		maxJobs := s.SlowStart.CrashLoadFactor * (s.SlowStart.Share + (1-s.SlowStart.Share)*(at+s.SlowStart.CrashLoadTime/2-launched).Seconds()/s.SlowStart.Time.Seconds()) * s.SlowStart.CrashLoadTime.Seconds() / run
		if got, _ := slices.BinarySearch(sent[i:], at+s.SlowStart.CrashLoadTime); float64(got) > maxJobs+3*math.Sqrt(maxJobs)+3 {
			t.Fatalf("%d jobs within CrashLoadTime from %v on; the worker can bear %.1f", got, at-launched, maxJobs)
		}
	}
	if sentWithoutPart > 0 || len(sent) < 5 || math.Abs(sum-1) > 1e-9 {
		t.Errorf("%d jobs from the dispatcher with part 0, want 0; %d jobs in total, want at least 5; sum of parts %v, want 1", sentWithoutPart, len(sent), sum)
	}
}
