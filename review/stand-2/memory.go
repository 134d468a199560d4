//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// burstFor is how long the site's `burst` lasts at most.
const burstFor = 4 * time.Second

// residentMb reads how much memory a process holds.
func residentMb(pid int) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kilobytes / 1024
		}
	}
	return 0
}

// keepLimit plays the platform: it kills a process that goes over its memory, and starts it again half a second later. It
// counts the ends of each.
func (y *yard) keepLimit(limits map[string]int, done <-chan struct{}, over *sync.WaitGroup) (ends func() map[string]int, peak func() map[string]int) {
	var mu sync.Mutex
	counts, peaks := map[string]int{}, map[string]int{}
	for _, p := range append(append([]*process{}, y.cores...), y.fronts...) {
		over.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(50 * time.Millisecond):
				}
				used := residentMb(p.cmd.Process.Pid)
				mu.Lock()
				peaks[p.name] = max(peaks[p.name], used)
				mu.Unlock()
				if used <= limits[p.role] {
					continue
				}
				y.rec.line("%s holds %d MB, over its %d MB: killed as the platform does", p.name, used, limits[p.role])
				mu.Lock()
				counts[p.name]++
				mu.Unlock()
				p.kill()
				time.Sleep(500 * time.Millisecond)
				if err := p.start(false); err != nil {
					y.rec.line("%s: %v", p.name, err)
					return
				}
			}
		})
	}
	copyOf := func(m map[string]int) func() map[string]int {
		return func() map[string]int {
			mu.Lock()
			defer mu.Unlock()
			result := map[string]int{}
			for k, v := range m {
				result[k] = v
			}
			return result
		}
	}
	return copyOf(counts), copyOf(peaks)
}

// manySteps returns a job of so many steps of one short task, each of which depends on all earlier ones.
func manySteps(steps int) string {
	b := &strings.Builder{}
	b.WriteString(`{"Spec":"300/1000;50;-","Steps":[`)
	for i := range steps {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(`{"Count":1,"Cpu":300,"MemMb":1000,"EstimateMs":50`)
		for j := range i {
			if j == 0 {
				b.WriteString(`,"DependsOn":[0`)
			} else {
				fmt.Fprintf(b, ",%d", j)
			}
		}
		if i > 0 {
			b.WriteByte(']')
		}
		b.WriteByte('}')
	}
	b.WriteString(`]}`)
	return b.String()
}

// memoryCase lets jobs of many steps come among ordinary ones, all within the limits of the configuration. The stand-in for the
// platform kills each process that goes over the memory of its machine.
func memoryCase(y *yard, trouble bool) (broken []string, err error) {
	if err := y.lay(3, 3, 12, 16000, 65536); err != nil {
		return nil, err
	}
	if err := y.up(); err != nil {
		return nil, err
	}
	large := manySteps(250)
	const count = 624 // 2.6 times the site's 60 jobs a second, for burstFor
	y.rec.line("a job of 250 steps has %d bytes; %d of them", len(large), count)
	done := make(chan struct{})
	var over, all sync.WaitGroup
	ends, peaks := y.keepLimit(map[string]int{"control": 280, "dispatcher": 284}, done, &over)
	var mu sync.Mutex
	accepted, largeTaken := []string{}, 0
	began := time.Now()
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	sent := 0
	for time.Since(began) < 45*time.Second {
		<-ticker.C
		all.Go(func() {
			id := fmt.Sprintf("%016x", rand.Uint64())
			if y.handIn(rand.IntN(len(y.fronts)), id, `{"Spec":"1200/4500;300;-","Steps":[{"Count":2,"Cpu":1200,"MemMb":4500,"EstimateMs":300}]}`) {
				mu.Lock()
				accepted = append(accepted, id)
				mu.Unlock()
			}
		})
		for trouble && sent < count && time.Since(began) > 5*time.Second && float64(sent) < float64(count)*(time.Since(began)-5*time.Second).Seconds()/burstFor.Seconds() {
			sent++
			all.Go(func() {
				id := fmt.Sprintf("%016x", rand.Uint64())
				if y.handIn(rand.IntN(len(y.fronts)), id, large) {
					mu.Lock()
					largeTaken++
					mu.Unlock()
				}
			})
		}
	}
	all.Wait()
	y.rec.line("the traffic ends: %d ordinary jobs and %d of %d jobs of 250 steps accepted; peaks in MB %v", len(accepted), largeTaken, sent, peaks())
	time.Sleep(finishS)
	unknown := 0
	asked := rand.Perm(len(accepted))
	for _, at := range asked[:min(len(asked), 60)] {
		all.Go(func() {
			state := ""
			for try := range 3 {
				if state = y.state(y.fronts[try%len(y.fronts)], accepted[at]); state == "completed" {
					break
				}
			}
			mu.Lock()
			if state != "completed" {
				unknown++
			}
			mu.Unlock()
		})
	}
	all.Wait()
	close(done)
	over.Wait()
	often := 0
	for _, core := range y.cores {
		if ends()[core.name] >= 3 {
			often++
		}
	}
	y.rec.line("ends for memory %v, peaks in MB %v; %d of %d ordinary jobs that were asked for are not shown as completed", ends(), peaks(), unknown, min(len(accepted), 60))
	if 2*often >= len(y.cores) {
		broken = append(broken, fmt.Sprintf("FAULT: processes on %d of %d core machines went over their memory three times or more: %v", often, len(y.cores), ends()))
	}
	if unknown > 0 {
		broken = append(broken, fmt.Sprintf("LOST: %d of %d accepted ordinary jobs that were asked for are not known, get no answer or are not completed finish_s after the traffic", unknown, min(len(accepted), 60)))
	}
	return broken, nil
}
