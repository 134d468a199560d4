package placement

import (
	"fmt"
	"testing"
	"time"

	"yardflow/scheduling/job"
)

// sound is a small job as most are, wide one of many tasks.
var (
	soundStep = job.Step{Count: 2, CPU: 1200, MemoryMB: 4500}
	wideStep  = job.Step{Count: 14, CPU: 2900, MemoryMB: 8400}
)

// submitTraffic hands in sound jobs until the given time: small ones, and now and then a wide one.
func submitTraffic(s *simulation, until time.Duration) {
	s.after(50*time.Millisecond, func() {
		if s.now > until {
			return
		}
		if s.random.IntN(40) == 0 {
			s.submit(wideStep, 4700*time.Millisecond, false)
		} else {
			s.submit(soundStep, time.Duration(300+s.random.IntN(400))*time.Millisecond, false)
		}
		submitTraffic(s, until)
	})
}

// TestHopelessJobBansNobody guards against sound jobs that wait beside idle workers because of a job that can never be done
// (review/7): its failures, at several workers and many in one moment, put no worker into backoff.
func TestHopelessJobBansNobody(t *testing.T) {
	for seed := range uint64(10) {
		s := newSimulation(seed, 12)
		submitTraffic(s, 40*time.Second)
		s.after(10*time.Second, func() {
			s.submit(job.Step{Count: 20, CPU: 2900, MemoryMB: 8400, RequiredLabel: "b"}, 4700*time.Millisecond, true)
		})
		s.play(60 * time.Second)
		if s.backoffs > 0 {
			t.Errorf("seed %d: workers were in backoff in %d cycles, want none", seed, s.backoffs)
		}
		if s.longestStarved >= 3*time.Second {
			t.Errorf("seed %d: a sound job had nothing running for %v beside room", seed, s.longestStarved)
		}
	}
}

// TestHopelessJobsStarveNobody guards against the same with several hopeless jobs at once: those may end a backoff late,
// but no sound job waits for it, be it a single task, a gang, or one whose tasks are kept apart.
func TestHopelessJobsStarveNobody(t *testing.T) {
	long := 4700 * time.Millisecond
	for name, step := range map[string]job.Step{
		"a single task":             {Count: 1, CPU: 2900, MemoryMB: 8400, RequiredLabel: "b"},
		"a gang":                    {Count: 4, CPU: 2900, MemoryMB: 8400, RequiredLabel: "b", Gang: true},
		"tasks that are kept apart": {Count: 3, CPU: 2900, MemoryMB: 8400, RequiredLabel: "b", AntiAffinity: 1},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				s := newSimulation(seed, 12)
				submitTraffic(s, 40*time.Second)
				for i := range 5 {
					s.after(time.Duration(10+i)*time.Second, func() {
						s.submit(job.Step{Count: 12, CPU: 2900, MemoryMB: 8400, RequiredLabel: "b"}, long, true)
					})
				}
				for i := range 30 {
					s.after(time.Duration(10000+700*i)*time.Millisecond, func() { s.submit(step, long, false) })
				}
				s.play(160 * time.Second)
				if s.longestStarved >= 3*time.Second {
					t.Errorf("seed %d: a sound job had nothing running for %v beside room", seed, s.longestStarved)
				}
				for id, j := range s.jobs {
					if !j.ended {
						t.Errorf("seed %d: job %s has not ended", seed, id)
					}
				}
			}
		})
	}
}

// TestHopelessJobLeavesTheOnlyWorkerOfItsLabel guards against the same where the label has one worker: the hopeless job fails
// at no other one, and still neither bans the worker nor comes before sound jobs again and again.
func TestHopelessJobLeavesTheOnlyWorkerOfItsLabel(t *testing.T) {
	for seed := range uint64(10) {
		s := newSimulation(seed, 5)
		s.scheduler.SetWorker(simulatedWorker(0), []string{"a", "r0", "only"}, simulatedCapacity, job.Resources{}, false)
		s.submit(job.Step{Count: 10, CPU: 4000, RequiredLabel: "only"}, 4*time.Second, true)
		sound := []*simulatedJob{}
		s.after(time.Second, func() {
			for range 4 {
				sound = append(sound, s.submit(job.Step{Count: 1, CPU: 4000, RequiredLabel: "only"}, 4*time.Second, false))
			}
		})
		s.play(9500 * time.Millisecond) // one round of hopeless runs, and one of sound ones
		for i, j := range sound {
			if !j.ended {
				t.Errorf("seed %d: sound job %d has not ended after the second round", seed, i)
			}
		}
		if s.backoffs > 0 {
			t.Errorf("seed %d: the worker was in backoff in %d cycles", seed, s.backoffs)
		}
	}
}

// TestSickWorkersAreLeftAsSoonAsBefore guards the other direction: workers that fail all or half of their runs, though they
// are healthy by all other signs, get no more starts than under the rules before review/7, under which each failed run
// counted against its worker, but for samplingError.
func TestSickWorkersAreLeftAsSoonAsBefore(t *testing.T) {
	for _, c := range []struct {
		share  float64 // of the runs at a sick worker that fail
		former int     // starts at sick workers over all seeds by the rules before
	}{{1, formerStartsAllFail}, {0.5, formerStartsHalfFail}} {
		t.Run(fmt.Sprint(c.share), func(t *testing.T) {
			starts, failed := sickWorkerFigures(c.share)
			t.Logf("%d starts at sick workers, %d before; %d sound jobs failed", starts, c.former, failed)
			if most := int(float64(c.former) * (1 + samplingError)); starts > most {
				t.Errorf("%d starts at sick workers, want at most %d", starts, most)
			}
			if failed > 0 {
				t.Errorf("%d sound jobs failed", failed)
			}
		})
	}
}

// sickWorkerFigures plays two workers of twelve that are sick for 8 s, twice.
func sickWorkerFigures(share float64) (starts, failedJobs int) {
	const seeds = 80
	for seed := range uint64(seeds) {
		s := newSimulation(seed, 12)
		s.sick = func(worker string, now time.Duration) bool {
			inSpell := now > 10*time.Second && now < 18*time.Second || now > 25*time.Second && now < 33*time.Second
			return inSpell && (worker == simulatedWorker(1) || worker == simulatedWorker(5))
		}
		s.failShare = func(worker string, now time.Duration) float64 {
			if s.sick(worker, now) {
				return share
			}
			return 0
		}
		submitTraffic(s, 40*time.Second)
		s.play(60 * time.Second)
		starts += s.startsAtSick
		failedJobs += s.failedJobs
	}
	return starts, failedJobs
}

// Starts at sick workers by the rules of commit c296556, in these same simulations.
const (
	// samplingError is by how much the starts of as many other seeds differ by chance.
	samplingError        = 0.03
	formerStartsAllFail  = 1941
	formerStartsHalfFail = 2595
)
