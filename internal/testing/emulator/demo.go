package emulator

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"
)

// Demo runs a small cluster on loopback for some seconds: jobs, a killed control machine, a changed
// configuration, a crashed worker, and what became of each job. It reports whether every rule held.
func Demo(out io.Writer, logs io.Writer) bool {
	const jobs = 40
	y := NewCluster(Shape{Cores: 3, Tolerate: 1, Dispatchers: 3, Workers: 6, Guards: true}, NewLoopback(), 7, logs)
	began := time.Now()
	say := func(format string, args ...any) {
		fmt.Fprintf(out, "%6.2f s  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	}
	say("3 control machines, 3 dispatchers and 6 workers start")
	y.Start()
	if !y.Operator.Configure() {
		say("the first configuration is not taken")
		return false
	}
	say("configuration %d is in force", y.Operator.version)
	time.Sleep(2 * time.Second)
	ended := make(chan struct{}, jobs)
	random := rand.New(rand.NewPCG(7, 7))
	for i := range jobs {
		own := rand.New(rand.NewPCG(7, uint64(i+100)))
		go func() {
			y.Client(own, began.Add(90*time.Second))
			ended <- struct{}{}
		}()
		switch i {
		case jobs / 4:
			say("control machine %s is killed", y.cores[0].name)
			y.cores[0].Kill()
		case jobs / 2:
			say("configuration changed: %v, now %d", y.Operator.Configure(), y.Operator.version)
			say("worker 1 crashes and comes back as another incarnation")
			y.list.Restart(0, time.Second)
		case jobs * 3 / 4:
			say("control machine %s is back", y.cores[0].name)
			y.cores[0].Back()
		}
		time.Sleep(time.Duration(50+random.IntN(200)) * time.Millisecond)
	}
	for range jobs {
		<-ended
	}
	y.Operator.ReadBack()
	accepted, completed := y.Checker.Finish()
	for _, line := range y.Checker.summary() {
		fmt.Fprintln(out, "          "+line)
	}
	say("%d jobs accepted, %d completed", accepted, completed)
	broken := y.Checker.Violations()
	for _, rule := range broken {
		say("broken rule: %s", rule)
	}
	y.Stop()
	return len(broken) == 0 && accepted == completed && accepted > 0
}
