package placement

import (
	"fmt"
	"testing"
	"time"

	"yardflow/scheduling/job"
)

// yard returns a placer with workers in racks of three; every third is of kind b.
func yard(workers int) *Placer {
	p := New(3, 1)
	for i := range workers {
		kind := "a"
		if i%3 == 2 {
			kind = "b"
		}
		p.SetWorker(fmt.Sprintf("w%04d", i), "s", []string{kind, fmt.Sprint("r", i/3)},
			job.Resources{Cpu: 8000, MemMb: 8000, Gpu: 2}, job.Resources{}, false)
	}
	return p
}

var numbers = 0

func unit(priority int, step job.Step) *Unit {
	numbers++
	indices := []int{0}
	if step.Gang {
		for index := 1; index < step.Count; index++ {
			indices = append(indices, index)
		}
	}
	j := &job.Job{ID: fmt.Sprintf("%016x", numbers), Priority: priority, Request: job.Request{Steps: []job.Step{step}}}
	return &Unit{Job: j, Indices: indices}
}

func fill(p *Placer, id string) {
	p.SetUsed(id, job.Resources{Cpu: 8000, MemMb: 8000, Gpu: 2})
}

func TestFastestWithRoomComesFirst(t *testing.T) {
	p := yard(6)
	for range 200 {
		p.Learn("w0004", 500*time.Millisecond, time.Second) // twice as fast as the others
	}
	p.Add(unit(0, job.Step{Count: 1, Cpu: 1000, EstimateMs: 1000}))
	decisions := p.Decide(time.Second)
	if len(decisions) != 1 || decisions[0].Workers[0] != "w0004" {
		t.Errorf("decided %v", decisions)
	}
}

func TestUrgentAndEarlierUnitsGoFirst(t *testing.T) {
	p := yard(1)
	late, early, urgent := unit(1, job.Step{Count: 1, Cpu: 8000}), unit(1, job.Step{Count: 1, Cpu: 8000}), unit(0, job.Step{Count: 1, Cpu: 8000})
	late.Deadline, early.Deadline, urgent.Deadline = 9*time.Second, time.Second, 99*time.Second
	for _, u := range []*Unit{late, early, urgent} {
		p.Add(u)
	}
	for _, want := range []*Unit{urgent, early, late} {
		decisions := p.Decide(time.Second)
		if len(decisions) != 1 || decisions[0].Unit != want {
			t.Fatalf("decided %v", decisions)
		}
		p.Release(decisions[0].Workers[0], decisions[0].Unit.Step().Asks())
	}
}

func TestWhatFitsNowhereHidesNothing(t *testing.T) {
	p := yard(2)
	for range 90 {
		p.Add(unit(0, job.Step{Count: 1, Cpu: 1000, Requires: "no such label"}))
	}
	last := unit(0, job.Step{Count: 1, Cpu: 1000})
	last.Deadline = time.Hour
	p.Add(last)
	if decisions := p.Decide(time.Second); len(decisions) != 1 || decisions[0].Unit != last {
		t.Errorf("decided %v", decisions)
	}
}

func TestReservedRoomIsNotGivenTwice(t *testing.T) {
	p := yard(1)
	for range 3 {
		p.Add(unit(0, job.Step{Count: 1, Cpu: 3000}))
	}
	if decisions := p.Decide(time.Second); len(decisions) != 2 {
		t.Errorf("%d units on a worker that holds two", len(decisions))
	}
}

func TestLabelsDrainingAndAntiAffinity(t *testing.T) {
	p := yard(3)
	p.SetWorker("w0000", "s", []string{"a", "r0"}, job.Resources{Cpu: 8000, MemMb: 8000}, job.Resources{}, true)
	u := unit(0, job.Step{Count: 2, Cpu: 1, Requires: "a", AntiAffinity: 1})
	p.Add(u)
	decisions := p.Decide(time.Second)
	if len(decisions) != 1 || decisions[0].Workers[0] != "w0001" {
		t.Fatalf("decided %v", decisions)
	}
	u.Job.Task(job.Key{}).Worker = "w0001"
	p.Add(&Unit{Job: u.Job, Indices: []int{1}})
	if decisions := p.Decide(time.Second); len(decisions) != 0 {
		t.Errorf("two tasks that are to be apart: %v", decisions)
	}
}

func TestWorkWaitsForARoomNearItsDataButNotForever(t *testing.T) {
	p := yard(6)
	for i := range 3 {
		fill(p, fmt.Sprintf("w%04d", i))
	}
	p.Add(unit(0, job.Step{Count: 1, Cpu: 1000, EstimateMs: 1000, Affinity: "r0"}))
	if decisions := p.Decide(100 * time.Millisecond); len(decisions) != 0 {
		t.Errorf("went away from its data at once: %v", decisions)
	}
	if decisions := p.Decide(2100 * time.Millisecond); len(decisions) != 1 {
		t.Error("waits for longer than the way costs")
	}
}

func TestGangInOneRack(t *testing.T) {
	p := yard(6)
	fill(p, "w0000")
	p.Add(unit(1, job.Step{Count: 6, Cpu: 1000, Gpu: 1, Gang: true, SameRack: true, EstimateMs: 1000}))
	decisions := p.Decide(time.Second)
	if len(decisions) != 1 || len(decisions[0].Workers) != 6 {
		t.Fatalf("decided %v", decisions)
	}
	for _, id := range decisions[0].Workers {
		if p.workers[id].Rack != "r1" {
			t.Errorf("a member at %s", id)
		}
	}
}

func TestGangIsPlacedWholeOrNotAtAll(t *testing.T) {
	p := yard(1)
	p.Add(unit(1, job.Step{Count: 3, Cpu: 4000, Gang: true}))
	if decisions := p.Decide(time.Second); len(decisions) != 0 {
		t.Errorf("decided %v", decisions)
	}
	if room := p.workers["w0000"].room(); room.Cpu != 8000 {
		t.Errorf("a gang that does not fit keeps room: %v", room)
	}
}

func TestBlamedWorkerIsLeftAloneAndForgiven(t *testing.T) {
	p := yard(1)
	p.Blame(time.Second, "w0000", 0.6)
	p.Add(unit(0, job.Step{Count: 1, Cpu: 1000}))
	if decisions := p.Decide(1100 * time.Millisecond); len(decisions) != 0 {
		t.Error("a worker that was just blamed gets work")
	}
	if decisions := p.Decide(2 * time.Second); len(decisions) != 1 {
		t.Error("a worker is never forgiven")
	}
	if bad := p.workers["w0000"].badness(30 * time.Second); bad > 0.01 {
		t.Errorf("after 30 s it is still distrusted: %v", bad)
	}
}

func TestUrgentTasksFindRoomKept(t *testing.T) {
	p := yard(1)
	for i := range 40 { // half of the work is urgent, so room is kept for it
		u := unit(i%2, job.Step{Count: 1, Cpu: 100, EstimateMs: 100})
		p.Add(u)
	}
	for _, decision := range p.Decide(time.Millisecond) {
		p.Release(decision.Workers[0], decision.Unit.Step().Asks())
	}
	for range 8 {
		p.Add(unit(1, job.Step{Count: 1, Cpu: 1000, EstimateMs: 1}))
	}
	placed := len(p.Decide(2 * time.Millisecond))
	if placed == 0 || placed >= 8 {
		t.Errorf("%d of 8 tasks of lower priority placed", placed)
	}
	p.Add(unit(0, job.Step{Count: 1, Cpu: 1000, EstimateMs: 1}))
	if decisions := p.Decide(3 * time.Millisecond); len(decisions) != 1 || decisions[0].Unit.Job.Priority != 0 {
		t.Error("no room for the urgent one")
	}
}

// What is kept free counts over the service: a large task may fill one worker where others have room.
func TestLargeTaskFillsAWorkerThoughRoomIsReserved(t *testing.T) {
	p := yard(3)
	p.urgentWork, p.allWork = 1e9, 2e9
	p.SetUsed("w0000", job.Resources{Cpu: 1000, MemMb: 1000})
	p.SetUsed("w0001", job.Resources{Cpu: 4000, MemMb: 4000})
	p.SetUsed("w0002", job.Resources{Cpu: 4000, MemMb: 4000})
	p.Add(unit(1, job.Step{Count: 1, Cpu: 7000, EstimateMs: 1000}))
	if decisions := p.Decide(time.Second); len(decisions) != 1 || decisions[0].Workers[0] != "w0000" {
		t.Fatalf("decided %v", decisions)
	}
	p.Release("w0000", job.Resources{Cpu: 7000})
	p.SetUsed("w0000", job.Resources{Cpu: 8000, MemMb: 8000})
	p.SetUsed("w0002", job.Resources{Cpu: 7000, MemMb: 7000})
	p.Add(unit(1, job.Step{Count: 1, Cpu: 4000, EstimateMs: 1000}))
	if decisions := p.Decide(1100 * time.Millisecond); len(decisions) != 0 {
		t.Errorf("took what is reserved for urgent tasks: %v", decisions)
	}
}

func TestOtherWorkersAreNamedThatAreAsGood(t *testing.T) {
	p := yard(9)
	for range 200 {
		p.Learn("w0000", 2*time.Second, time.Second) // slower than the others
	}
	fill(p, "w0001")
	p.Add(unit(0, job.Step{Count: 1, Cpu: 1000, Requires: "a"}))
	decisions := p.Decide(time.Second)
	if len(decisions) != 1 || len(decisions[0].Others) != otherChoices {
		t.Fatalf("decided %+v", decisions)
	}
	seen := map[string]bool{decisions[0].Workers[0]: true, "w0000": true, "w0001": true}
	for _, other := range decisions[0].Others {
		if seen[other] || p.workers[other].Kind != "a" {
			t.Errorf("%s is named beside %s", other, decisions[0].Workers[0])
		}
		seen[other] = true
	}
}

// Under overload a unit that will be late makes way for one that can still be in time, whatever came first.
func TestLateUnitsMakeWay(t *testing.T) {
	p := yard(1)
	add := func(deadline, remaining time.Duration) *Unit {
		u := unit(1, job.Step{Count: 1, Cpu: 8000, EstimateMs: remaining.Milliseconds()})
		u.Deadline, u.Remaining = deadline, remaining
		p.Add(u)
		return u
	}
	fill(p, "w0000")
	becomesLate, inTime, late := add(4*time.Second, 2*time.Second), add(9*time.Second, 2*time.Second), add(time.Second, 4*time.Second)
	p.Decide(time.Second)
	for i, want := range []*Unit{becomesLate, inTime, late} {
		if p.queue[i] != want {
			t.Fatalf("place %d before anything became late: %v", i, p.queue[i].Deadline)
		}
	}
	p.Decide(3100 * time.Millisecond)
	for i, want := range []*Unit{inTime, late, becomesLate} {
		if p.queue[i] != want {
			t.Errorf("place %d: deadline %v", i, p.queue[i].Deadline)
		}
	}
}

func TestStepsWiderThanAQuarterRunInWaves(t *testing.T) {
	p := yard(8)
	for count, want := range map[int]int{1: 1, 2: 1, 3: 2, 4: 2, 8: 4} {
		if got := p.Waves(&job.Step{Count: count, Cpu: 8000}); got != want {
			t.Errorf("%d whole workers of 8: %d waves, want %d", count, got, want)
		}
	}
	if got := p.Waves(&job.Step{Count: 3, Requires: "no such label"}); got != 1 {
		t.Errorf("%d waves where no worker is able", got)
	}
}

func TestExplain(t *testing.T) {
	p := yard(3)
	fill(p, "w0000")
	p.Blame(9*time.Second, "w0001", 0.9)
	p.Add(unit(0, job.Step{Count: 1, Cpu: 1000, Requires: "a"}))
	p.Decide(9 * time.Second)
	list := p.Explain(9*time.Second, time.Second)
	if len(list) != 1 || list[0].Full != 1 || list[0].Paused != 1 || list[0].Unable != 1 {
		t.Errorf("explained %+v", list)
	}
}

// BenchmarkDecide measures one decision among so many workers, most of them full.
func BenchmarkDecide(b *testing.B) {
	for _, workers := range []int{50, 350, 2500} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			p := yard(workers)
			for i := range workers - 5 {
				p.SetUsed(fmt.Sprintf("w%04d", i), job.Resources{Cpu: 7500})
			}
			step := job.Step{Count: 1, Cpu: 1000, EstimateMs: 1000}
			now := time.Duration(0)
			for b.Loop() {
				now += time.Millisecond
				p.Add(unit(0, step))
				for _, decision := range p.Decide(now) {
					p.Release(decision.Workers[0], step.Asks())
				}
			}
		})
	}
}
