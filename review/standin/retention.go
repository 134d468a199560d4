//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["retention"] = playRetention }

// Figures of the case retention. One control process at a time is down, and the next one is killed later than CatchUpS
// after its return.
const (
	restartPause = 500 * time.Millisecond
	killInterval = 5600 * time.Millisecond
	askFor       = 103 * time.Second // after the job's end; status_s is 120 s
)

// playRetention has a job done, and asks for its state while the head of the control processes is killed again and
// again.
func playRetention(c *cluster, trouble bool) (verdict, error) {
	w, err := newWorker(c.record, "w-01", "a", "r-1")
	if err != nil {
		return verdict{}, err
	}
	if err := c.start([]*worker{w}, 2, labelRoutes); err != nil {
		return verdict{}, err
	}
	path := fmt.Sprintf("/board/%016x", 0x5c0e7a21)
	if !c.handIn(path, oneTask(""), 0) {
		return verdict{}, fmt.Errorf("the job was not accepted")
	}
	accepted := time.Now()
	for {
		if _, text := c.call(c.fronts[0], http.MethodGet, path, ""); text == `{"State":"completed"}` {
			break
		}
		if time.Since(accepted) > 10*time.Second {
			return verdict{}, fmt.Errorf("the job was not completed")
		}
		time.Sleep(100 * time.Millisecond)
	}
	done := time.Now()
	if trouble {
		go func() {
			for time.Since(done) < askFor {
				if head := c.head(); head != nil {
					c.kill(head)
					time.Sleep(restartPause)
					_ = c.launch(head, false)
				}
				time.Sleep(killInterval - restartPause)
			}
		}()
	}
	for time.Since(done) < askFor {
		time.Sleep(time.Second)
		// The dispatcher that took the job in answers from its own copy of the state. Any other would remember the end
		// once it was asked, also when the state no longer has the job.
		if status, _ := c.call(c.fronts[0], http.MethodGet, path, ""); status == http.StatusGone {
			return verdict{true, fmt.Sprintf("%.0f s after it was shown as completed, the accepted job is answered 410 "+
				"(status_s is %d)", time.Since(done).Seconds(), statusS)}, nil
		}
	}
	return verdict{false, fmt.Sprintf("the job's state was known for %.0f s", time.Since(done).Seconds())}, nil
}
