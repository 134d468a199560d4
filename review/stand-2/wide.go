//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// wideCase lets jobs of many tasks come that no worker can take, at one dispatcher, among ordinary jobs.
func wideCase(y *yard, trouble bool) (broken []string, err error) {
	const cpu, mem = 1200, 4500
	if err := y.lay(3, 3, 12, 16000, 65536); err != nil {
		return nil, err
	}
	if err := y.up(); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	accepted := []handedJob{}
	var all sync.WaitGroup
	handIn := func(front int, ms int) {
		all.Go(func() {
			id := fmt.Sprintf("%016x", rand.Uint64())
			if y.handIn(front, id, fmt.Sprintf(`{"Spec":"%d/%d;%d;-","Steps":[{"Count":2,"Cpu":%d,"MemMb":%d,"EstimateMs":%d}]}`, cpu, mem, ms, cpu, mem, ms)) {
				mu.Lock()
				accepted = append(accepted, handedJob{id, time.Now(), 2, "ordinary"})
				mu.Unlock()
			}
		})
	}
	done := make(chan struct{})
	samples := y.sampleRoom("a", cpu, mem, done)
	began := time.Now()
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for n := 0; time.Since(began) < 30*time.Second; n++ {
		<-ticker.C
		handIn(rand.IntN(3), 300+rand.IntN(2000))
		if trouble && n >= 50 && n < 90 { // 4.0 s, as the site's `burst` lasts at most
			all.Go(func() {
				id := fmt.Sprintf("%016x", rand.Uint64())
				code, _ := y.call(y.fronts[0], "POST", id, `{"Spec":"300/1000;50;-","Steps":[{"Count":65000,"Cpu":300,"MemMb":1000,"EstimateMs":1000,"Requires":"c"}]}`)
				y.rec.line("POST of a job of 65000 tasks %s: %d", id, code)
			})
		}
	}
	all.Wait()
	trafficEnd := time.Now()
	y.rec.line("the traffic ends")
	time.Sleep(finishS + 6*time.Second)
	states := map[string]string{}
	for _, j := range accepted {
		for try := range 2 {
			if states[j.id] = y.state(y.fronts[(try+1)%3], j.id); len(states[j.id]) > 3 {
				break
			}
		}
	}
	close(done)
	end, seen := time.Now(), samples()
	count, lapsed := map[string]int{}, 0
	for _, j := range accepted {
		count[states[j.id]]++
		runs := y.rec.runsOf(j.id)
		for _, r := range runs {
			if strings.Contains("lapsed", r.how) && r.how != "" {
				lapsed++
			}
		}
		for _, span := range gaps(runs, j.at, end, map[string]bool{}, j.tasks) {
			from := span[0]
			if late := trafficEnd.Add(finishS); late.After(from) {
				from = late
			}
			room, lateRoom := longestRoom(seen, span[0], span[1]), longestRoom(seen, from, span[1])
			text := fmt.Sprintf("job %s had nothing running for %.1f s from %.1f s on, room twice over for %.1f s of it at once, for %.1f s later than finish_s after the traffic",
				j.id, span[1].Sub(span[0]).Seconds(), span[0].Sub(y.rec.began).Seconds(), room.Seconds(), lateRoom.Seconds())
			switch {
			case lateRoom > nothingRuns:
				broken = append(broken, "LOST: "+text)
			case room > nothingRuns:
				y.rec.line("seen: %s", text)
			}
		}
	}
	y.rec.line("%d ordinary jobs accepted, states %v, %d runs lapsed", len(accepted), count, lapsed)
	return broken, nil
}
