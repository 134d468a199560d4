package harness

// This file owns the scenarios of cold starts: everything at one moment, in any order, with a
// list service in any mood and readers that fall. Asserted each time: no second has more calls at
// the list service than the policy states, and in the end all serve.

import (
	"fmt"
	"math"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"yardflow/internal/discovery/membership"
	"yardflow/internal/fleet/coldstart/relay"
	"yardflow/internal/testing/standin/listservice"
	"yardflow/internal/testing/standin/worker"
)

// startCalls is what the list service is stated to take a second.
const startCalls = 5

var startPolicy = fmt.Sprintf("[start]\ncalls = %d\n", startCalls)

// startAll starts processes at one moment, and waits until each serves on its port.
func startAll(t T, all ...*Process) {
	t.Helper()
	var wg sync.WaitGroup
	errs := make([]error, len(all))
	for i, p := range all {
		wg.Go(func() { errs[i] = p.Start() })
	}
	wg.Wait()
	for _, err := range errs {
		check(t, err)
	}
}

func killAll(all ...*Process) {
	var wg sync.WaitGroup
	for _, p := range all {
		wg.Go(p.Kill)
	}
	wg.Wait()
}

// awaitAllServe waits until all dispatchers serve, and returns how long the last took.
func awaitAllServe(t T, r *Rig, since time.Time) time.Duration {
	t.Helper()
	for _, d := range r.Dispatchers {
		awaitAnswer(t, r, d, true)
	}
	return time.Since(since)
}

// checkListCallRate checks that the list service was never asked more than the policy states.
func checkListCallRate(t T, r *Rig, from time.Time) {
	t.Helper()
	if n := r.List.Peak(from); n > startCalls {
		t.Errorf("%d calls at the list service in one second; %d are stated", n, startCalls)
	}
}

// gone has the list service be there for nobody, or be back.
func (r *Rig) gone(gone bool) {
	r.mu.Lock()
	var all []*Relay
	for ends, l := range r.relays {
		if ends[1] == "list" {
			all = append(all, l)
		}
	}
	r.mu.Unlock()
	for _, l := range all {
		l.Refuse(gone)
	}
}

// Power comes back, with each kind of process last in turn.
func startPower(t T, r *Rig) {
	enforcePolicy(t, r, startPolicy)
	began := time.Now()
	last := func(what string, late func()) {
		t.Helper()
		killAll(append(append([]*Process(nil), r.Dispatchers...), r.Coordinators...)...)
		power := time.Now()
		if what != "list" {
			r.gone(false)
		}
		if what != "keepers" {
			startAll(t, r.Coordinators...)
		}
		if what != "dispatchers" {
			startAll(t, r.Dispatchers...)
		}
		late()
		t.Logf("%s last: all 12 serve %v after the power", what, awaitAllServe(t, r, power).Round(time.Millisecond))
		checkListCallRate(t, r, began)
	}
	r.gone(true)
	last("list", func() { r.gone(false) })
	last("keepers", func() { startAll(t, r.Coordinators...) })
	last("dispatchers", func() { startAll(t, r.Dispatchers...) })
	r.gone(true)
	last("list", func() {
		// What was relayed before stands in the coordinators' log: all serve by it, with no list service.
		t.Logf("without a list service: all 12 serve after %v", awaitAllServe(t, r, time.Now()).Round(time.Millisecond))
		r.gone(false)
	})
	if calls := len(r.List.Anew()); !r.Most("calls at the list service in four starts of 12 dispatchers in 3 zones", float64(calls), 4*2*3) {
		t.Errorf("%d calls at the list service", calls)
	}
}

// listReader is who reads for zone 0, and under which number.
func (r *Rig) listReader(t T) (reader *Process, list relay.List) {
	t.Helper()
	s, _, err := r.State()
	check(t, err)
	if s.ColdStart == nil || s.ColdStart.Lists[0] == nil {
		return nil, list
	}
	list = *s.ColdStart.Lists[0]
	name, _, _ := strings.Cut(list.Reader, "/")
	for _, d := range r.Dispatchers {
		if d.Name == name {
			reader = d
		}
	}
	return reader, list
}

// checkDrain has a worker drain, and notes how long after the reader was notified somebody sent
// there still, beside the settings' limit; a busy machine's delays are no verdict, seconds are.
// until is when to look.
func checkDrain(t T, r *Rig, worker int, until func()) {
	t.Helper()
	id := r.Workers[worker].ID
	notifiedAt, err := r.List.Told(r.List.Mark(id, "DRAINING"), Patience)
	check(t, err)
	until()
	last := time.Duration(0)
	for _, a := range r.Workers[worker].Arrivals() {
		last = max(last, a.First.Sub(notifiedAt))
	}
	if r.Most("seconds from a drain told to the reader to the last send by anybody", last.Seconds(), 0.55); last > 3*time.Second {
		t.Errorf("%s gets a job %v after its drain was told to the reader", id, last)
	}
}

// The reader falls in three ways.
func startReader(t T, r *Rig) {
	enforcePolicy(t, r, startPolicy)
	began := time.Now()
	startAll(t, r.Dispatchers...)
	awaitAllServe(t, r, began)
	stop := r.Load()
	defer func() { stop() }()
	next := func(was *Process, fence uint64) (reader *Process) {
		t.Helper()
		check(t, Until("another reads", func() bool {
			now, list := r.listReader(t)
			reader = now
			return now != nil && now != was && list.FencingToken > fence && list.PublishedFencingToken == list.FencingToken
		}))
		return reader
	}
	check(t, Until("somebody has read", func() bool { _, l := r.listReader(t); return l.PublishedFencingToken > 0 }))
	// It stands still through three leases, and another reads meanwhile and is notified of a drain.
	reader, list := r.listReader(t)
	reader.Stop()
	second := next(reader, list.FencingToken)
	checkDrain(t, r, 0, func() {
		check(t, Until("the drain is relayed", func() bool { _, l := r.listReader(t); return l.Entries[0].State == uint8(membership.Draining) }))
		time.Sleep(2 * lease)
	})
	reader.Go()
	awaitAnswer(t, r, reader, true)
	if _, l := r.listReader(t); l.Entries[0].State != uint8(membership.Draining) || l.FencingToken < list.FencingToken+1 {
		t.Errorf("%s woke, and the list is as it knew it: %+v", reader.Name, l)
	}
	// It is killed.
	_, list = r.listReader(t)
	second.Kill()
	third := next(second, list.FencingToken)
	checkDrain(t, r, 1, func() { time.Sleep(lease) })
	check(t, second.Start())
	awaitAnswer(t, r, second, true)
	// It is not heard of any more, and hears: its lease runs out, its watch at the service stands.
	_, list = r.listReader(t)
	for _, k := range r.Coordinators {
		r.Link(third.Name, k.Name).CutWays(true, false)
	}
	next(third, list.FencingToken)
	checkDrain(t, r, 2, func() { time.Sleep(lease) })
	for _, k := range r.Coordinators {
		r.Link(third.Name, k.Name).Cut(false)
	}
	awaitAllServe(t, r, time.Now())
	checkListCallRate(t, r, began)
	if n := r.Answers(third.Name, 200); n == 0 {
		t.Error("nothing was served")
	}
}

// The list service has its moods while all start.
func startList(t T, r *Rig) {
	enforcePolicy(t, r, startPolicy)
	began := time.Now()
	for _, m := range []struct {
		name string
		mood listservice.Mood
	}{
		{"silent, with nothing relayed", listservice.Mood{Silent: true}},
		{"overloaded", listservice.Mood{Calls: startCalls}},
		{"gone in mid-list", listservice.Mood{Cut: true}},
		{"silent", listservice.Mood{Silent: true}},
		{"old", listservice.Mood{Old: true}},
	} {
		killAll(r.Dispatchers...)
		r.List.Be(m.mood)
		at := time.Now()
		startAll(t, r.Dispatchers...)
		if m.name != "silent, with nothing relayed" {
			t.Logf("list service %s: all 6 serve after %v, by what was relayed", m.name, awaitAllServe(t, r, at).Round(time.Millisecond))
		} else {
			time.Sleep(lease)
		}
		if m.mood.Old {
			check(t, Until("the old list is refused", func() bool {
				for _, d := range r.Dispatchers {
					d.mu.Lock()
					all := strings.Join(d.log, "\n")
					d.mu.Unlock()
					if strings.Contains(all, "list-older") {
						return true
					}
				}
				return false
			}))
		}
		r.List.Be(listservice.Mood{Calls: startCalls})
		awaitAllServe(t, r, at)
		checkDrain(t, r, 0, func() {
			check(t, Until("the change is relayed", func() bool {
				_, l := r.listReader(t)
				return len(l.Entries) > 0 && l.Entries[0].State == uint8(membership.Draining)
			}))
		})
		check(t, Until("it is on the list again", func() bool {
			r.List.Mark(r.Workers[0].ID, "SERVING")
			_, l := r.listReader(t)
			return l.Entries[0].State == uint8(membership.Serving)
		}))
		r.Workers[0].Clear()
		checkListCallRate(t, r, began)
	}
}

// Coordinators come late, in part, and not at all: dispatchers that may go on by the last policy start
// without them, each by its own drawn pause.
func startAlone(t T, r *Rig) {
	enforcePolicy(t, r, startPolicy)
	startAll(t, r.Dispatchers...)
	awaitAllServe(t, r, time.Now())
	killAll(append(append([]*Process(nil), r.Dispatchers...), r.Coordinators...)...)
	began := time.Now()
	startAll(t, r.Dispatchers...)
	t.Logf("without keepers: all 4 serve after %v", awaitAllServe(t, r, began).Round(time.Millisecond))
	startAll(t, r.Coordinators[0])
	awaitAllServe(t, r, time.Now())
	startAll(t, r.Coordinators[1:]...)
	check(t, Until("one reads for all", func() bool {
		reader, l := r.listReader(t)
		return reader != nil && l.PublishedFencingToken == l.FencingToken
	}))
	checkDrain(t, r, 0, func() {
		check(t, Until("the drain is relayed", func() bool { _, l := r.listReader(t); return l.Entries[0].State == uint8(membership.Draining) }))
	})
	awaitAllServe(t, r, time.Now())
	if n := r.List.Peak(began); n > 2*len(r.Dispatchers) {
		t.Errorf("%d calls in a second by 4 dispatchers", n)
	}
}

// A dispatcher is killed at each stage of its start.
func startAgain(t T, r *Rig) {
	enforcePolicy(t, r, startPolicy)
	began := time.Now()
	d := r.Dispatchers[0]
	for i := range 10 {
		from := d.Mark()
		check(t, d.Start())
		if at := []string{" serves on ", "policy: version", " ask since", "first told", "list form"}[i%5]; i < 5 {
			_, err := d.Await(from, at)
			check(t, err)
		}
		d.signal(syscall.SIGKILL)
		d.Kill()
	}
	startAll(t, r.Dispatchers...)
	awaitAllServe(t, r, began)
	checkListCallRate(t, r, began)
}

// All workers have just started, and clients ask twice what they bear, each coming again at once.
// What all dispatchers send to any of them keeps to what it bears, by the parts that the fleet has
// granted; and when the load is what it was before, so is what is served, by itself.
func startStorm(t T, r *Rig) {
	const warm = 30 * time.Millisecond // a job's run, by a worker that is
	share, ramp, multiple, window := 0.3, 8300*time.Millisecond, 4.0, 2*time.Second
	enforcePolicy(t, r, "dispatchers = 6\n"+startPolicy+`
[[limit]]
name = "cold"
kind = "cold"
amount = 1.0
static = 0.2
`)
	r.Runs(warm)
	startAll(t, r.Dispatchers...)
	awaitAllServe(t, r, time.Now())
	calm := r.Push(1, r.Dispatchers[:2]...)
	before := r.servedShare(time.Second)
	// The whole fleet of workers starts again.
	power := time.Now()
	for _, w := range r.Workers {
		w.Clear()
	}
	check(t, r.PublishWorkers(func(int) time.Time { return power }))
	storm := r.Push(10, r.Dispatchers...)
	warmth := func(after time.Duration) float64 { return share + (1-share)*after.Seconds()/ramp.Seconds() }
	for time.Since(power) < 6*time.Second { // it warms, in steps
		r.Runs(time.Duration(float64(warm) / warmth(time.Since(power))))
		time.Sleep(100 * time.Millisecond)
	}
	storm()
	most := 0.0
	for _, w := range r.Workers {
		all := w.Arrivals()
		for i, a := range all {
			at := a.First.Sub(power)
			if at < 0 || at > 6*time.Second-window {
				continue
			}
			bears := multiple * warmth(at+window/2) * 2 * window.Seconds() / warm.Seconds()
			most = max(most, float64(arrivalsWithin(window, all[i:]))/(bears+3*math.Sqrt(bears)+3))
		}
	}
	if !r.Most("sent to a cold worker by all, of what it bears", most, 1) {
		t.Errorf("a cold worker is sent %.2f of what it bears", most)
	}
	over := time.Now()
	r.Runs(warm)
	check(t, Until("what is served is as before", func() bool { return r.servedShare(500*time.Millisecond) >= before-0.02 }))
	r.Most("seconds from the end of the storm until what is served is as before", time.Since(over).Seconds(), 5)
	calm()
	checkListCallRate(t, r, power)
}

// arrivalsWithin returns how many jobs came within a span of the first.
func arrivalsWithin(span time.Duration, arrivals []worker.Arrival) (n int) {
	for _, a := range arrivals {
		if a.First.Sub(arrivals[0].First) < span {
			n++
		}
	}
	return n
}

// servedShare returns the share of the answers within a span from now that were 200.
func (r *Rig) servedShare(span time.Duration) float64 {
	ok, all := r.countAnswers()
	time.Sleep(span)
	okThen, allThen := r.countAnswers()
	return float64(okThen-ok) / float64(max(allThen-all, 1))
}

// countAnswers returns how many answers were 200, and how many there were.
func (r *Rig) countAnswers() (ok, all int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, by := range r.answers {
		for status, n := range by {
			if all += n; status == http.StatusOK {
				ok += n
			}
		}
	}
	return ok, all
}
