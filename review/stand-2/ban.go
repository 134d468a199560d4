//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// sample is what was free at one moment.
type sample struct {
	at       time.Time
	roomTwo  bool // an eligible worker has room for the task twice over
	halfFree bool // under half of the service's capacity is in use
}

// sampleRoom notes every 50 ms whether a task of these demands has room twice over at a worker of the kind.
func (y *yard) sampleRoom(kind string, cpu, mem int64, done <-chan struct{}) func() []sample {
	var mu sync.Mutex
	samples := []sample{}
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
			}
			s := sample{at: time.Now()}
			used, total := int64(0), int64(0)
			for _, w := range y.workers {
				w.mu.Lock()
				usedCPU, usedMem := int64(0), int64(0)
				for _, r := range w.runs {
					usedCPU, usedMem = usedCPU+r.cpu, usedMem+r.mem
				}
				w.mu.Unlock()
				used, total = used+usedCPU, total+w.capCPU
				if w.kind == kind && w.capCPU-usedCPU >= 2*cpu && w.capMem-usedMem >= 2*mem {
					s.roomTwo = true
				}
			}
			s.halfFree = 2*used < total
			mu.Lock()
			samples = append(samples, s)
			mu.Unlock()
		}
	}()
	return func() []sample {
		mu.Lock()
		defer mu.Unlock()
		return append([]sample(nil), samples...)
	}
}

// longestRoom returns the longest part of a span in which all samples show room twice over in a service that is under half in
// use.
func longestRoom(samples []sample, from, to time.Time) (longest time.Duration) {
	since := time.Time{}
	for _, s := range samples {
		switch {
		case s.at.Before(from) || s.at.After(to) || !s.roomTwo || !s.halfFree:
			since = time.Time{}
		case since.IsZero():
			since = s.at
		default:
			longest = max(longest, s.at.Sub(since))
		}
	}
	return longest
}

// handedJob is a job that was accepted.
type handedJob struct {
	id    string
	at    time.Time
	tasks int
	kind  string
}

// banCase lets jobs come of which each third requires a label that four of twelve workers have. At the end of the traffic come
// longer jobs that require it too, and one that can never be done: all its runs fail by its own fault.
func banCase(y *yard, trouble bool) (broken []string, err error) {
	const cpu, mem = 2900, 8400
	y.attempts = 4
	if err := y.lay(3, 3, 12, 16000, 65536); err != nil {
		return nil, err
	}
	if err := y.up(); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	accepted := []handedJob{}
	var all sync.WaitGroup
	handIn := func(front int, kind, body string, tasks int) {
		all.Go(func() {
			id := fmt.Sprintf("%016x", rand.Uint64())
			if y.handIn(front, id, body) {
				mu.Lock()
				accepted = append(accepted, handedJob{id, time.Now(), tasks, kind})
				mu.Unlock()
			}
		})
	}
	done := make(chan struct{})
	samples := y.sampleRoom("b", cpu, mem, done)
	began := time.Now()
	ticker := time.NewTicker(time.Second / 20)
	defer ticker.Stop()
	for n := 0; time.Since(began) < 15*time.Second; n++ {
		<-ticker.C
		requires := ""
		if n%3 == 0 {
			requires = `,"Requires":"b"`
		}
		handIn(rand.IntN(len(y.fronts)), "ordinary", fmt.Sprintf(`{"Spec":"1200/4500;%d;-","Steps":[{"Count":2,"Cpu":1200,"MemMb":4500,"EstimateMs":500%s}]}`,
			300+rand.IntN(400), requires), 2)
	}
	step := fmt.Sprintf(`{"Count":%%d,"Cpu":%d,"MemMb":%d,"EstimateMs":4700,"Requires":"b"`, cpu, mem)
	if trouble {
		handIn(0, "hopeless", fmt.Sprintf(`{"Spec":"%d/%d;4700;*","Steps":[`, cpu, mem)+fmt.Sprintf(step, 20)+`}]}`, 20)
	}
	time.Sleep(300 * time.Millisecond)
	for range 8 {
		one := fmt.Sprintf(step, 1)
		handIn(0, "long", fmt.Sprintf(`{"Spec":"%d/%d;4700;-","Steps":[`, cpu, mem)+one+`},`+one+`,"DependsOn":[0]},`+one+`,"DependsOn":[1]},`+one+`,"DependsOn":[2]},`+one+`,"DependsOn":[3]}]}`, 5)
	}
	all.Wait()
	trafficEnd := time.Now()
	y.rec.line("the traffic ends")
	time.Sleep(finishS + 16*time.Second)
	close(done)
	end, seen := time.Now(), samples()
	for _, j := range accepted {
		for _, span := range gaps(y.rec.runsOf(j.id), j.at, end, map[string]bool{}, j.tasks) {
			from := span[0]
			if late := trafficEnd.Add(finishS); late.After(from) {
				from = late
			}
			room, lateRoom := longestRoom(seen, span[0], span[1]), longestRoom(seen, from, span[1])
			text := fmt.Sprintf("%s job %s had nothing running for %.1f s from %.1f s on; a worker of its label had room twice over for %.1f s of it at once, for %.1f s at once later than finish_s after the traffic",
				j.kind, j.id, span[1].Sub(span[0]).Seconds(), span[0].Sub(y.rec.began).Seconds(), room.Seconds(), lateRoom.Seconds())
			switch {
			case j.kind != "hopeless" && lateRoom > nothingRuns:
				broken = append(broken, "LOST: "+text)
			case room > nothingRuns:
				y.rec.line("seen: %s", text)
			}
		}
	}
	y.rec.line("%d jobs judged", len(accepted))
	return broken, nil
}

// gaps returns the spans in which nothing of a job of one step ran, from its acceptance until its last task was done.
func gaps(runs []runLine, from, end time.Time, done map[string]bool, tasks int) [][2]time.Time {
	spans := [][2]time.Time{}
	idleSince := from
	for _, r := range runs { // in the order of their starts
		if r.began.After(idleSince) {
			spans = append(spans, [2]time.Time{idleSince, r.began})
		}
		ended := r.ended
		if r.how == "" {
			ended = end
		}
		if ended.After(idleSince) {
			idleSince = ended
		}
		if r.how == "done" {
			done[r.task] = true
		}
	}
	if len(done) < tasks && end.After(idleSince) {
		spans = append(spans, [2]time.Time{idleSince, end})
	}
	return spans
}
