package harness

// This file simulates cold starts in virtual time: the coordinators' state machine, the dispatchers' clients of it and a
// list service of stated capacity. The same seed gives the same run.

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"yardflow/internal/discovery/backoff"
	"yardflow/internal/fleet/coldstart"
	"yardflow/internal/fleet/coldstart/admission"
	"yardflow/internal/fleet/coldstart/relay"
	"yardflow/internal/fleet/policylease"
	"yardflow/internal/fleet/statemachine"
)

// Times of the simulated network and processes.
const (
	minCommandDelay    = 2 * time.Millisecond // one way to a coordinator, at the least
	commandJitter      = 15 * time.Millisecond
	commandProcessing  = 100 * time.Microsecond // of the leader, which handles commands one after the other
	commitDelay        = 12 * time.Millisecond
	minWatchDelay      = 5 * time.Millisecond
	watchJitter        = 25 * time.Millisecond
	leaseDuration      = 3 * time.Second
	leaseTick          = 100 * time.Millisecond // between two ticks of the coordinators' clock
	retryBase          = 50 * time.Millisecond  // before a failed lease request is made again
	retryMost          = 400 * time.Millisecond
	waitForCoordinator = 10 * time.Second // before a dispatcher calls the list service by itself
	longCallDelay      = 200 * time.Millisecond
	relayedEntryBytes  = 40
)

// ColdStart is one simulation of a fleet that starts within a second.
type ColdStart struct {
	Seed             uint64
	Dispatchers      int
	Zones            int
	Workers          int
	CallsPerSecond   int           // a second that the list service takes; those beyond fail
	Coordinators     bool          // there are coordinators
	CoordinatorDelay time.Duration // the coordinators start so long after the dispatchers
	RelayList        bool
	Horizon          time.Duration // of the simulation; 0: a minute
	Killed           float64       // share of the dispatchers that is killed and started again in the first two seconds
}

// ColdStartResult is the result of a ColdStart.
type ColdStartResult struct {
	ListCalls, FailedCalls, PeakCalls int           // at the list service
	Median, Last, Percentile95        time.Duration // until half, all, and 95% of the dispatchers have the list
	Bytes                             float64       // that a dispatcher received from the coordinators
	WithoutList                       int           // dispatchers without the list at the end
}

// coldDispatcher is one incarnation of a dispatcher.
type coldDispatcher struct {
	index          int
	incarnation    int
	zone           int
	lease          *policylease.Holder
	client         *coldstart.Client
	listAt         time.Duration // when it had the list first; 0: not yet
	failures       int
	callScheduled  bool // a call at the list service is waited for or under way
	leaseRequested bool
	watching       bool // a call of its own was answered, and is carried on
	receivedBytes  int
}

// coldStartRun is a ColdStart under way.
type coldStartRun struct {
	ColdStart
	virtualTime
	random       *rand.Rand
	state        *statemachine.State
	entries      []relay.Entry // of the list service
	calls        []time.Duration
	leaderBusy   time.Duration // until then
	dispatchers  []*coldDispatcher
	incarnations int
	failedCalls  int
}

// Run simulates until all dispatchers have the list, or the horizon.
func (c ColdStart) Run() ColdStartResult {
	r := newColdStartRun(c)
	r.startDispatchers()
	r.at(c.CoordinatorDelay, r.tick)
	r.play()
	return r.result()
}

func newColdStartRun(c ColdStart) *coldStartRun {
	r := &coldStartRun{ColdStart: c, random: rand.New(rand.NewPCG(c.Seed, 17)), dispatchers: make([]*coldDispatcher, c.Dispatchers)}
	r.state = statemachine.New(statemachine.Config{LeaseDuration: leaseDuration, VoteTimeout: 5 * time.Second, OnLeaseLoss: statemachine.RefuseWork, PolicyHistory: 4})
	settings := &coldstart.Settings{Settings: admission.Settings{CallsPerSecond: c.CallsPerSecond, TokenWindow: 100 * time.Millisecond}, RelayList: c.RelayList}
	r.state.Apply(statemachine.Command{Proposal: &statemachine.Proposal{ID: "one", Text: []byte("x"), ColdStart: settings}})
	for i := range c.Workers {
		r.entries = append(r.entries, relay.Entry{ID: fmt.Sprintf("s-%08x", i*7919), Addr: "10.1.0.1:7070", Zone: "praha-holesovice", Kind: "dual-fast", Weight: 1})
	}
	return r
}

// draw returns a random time below most.
func (r *coldStartRun) draw(most time.Duration) time.Duration {
	return time.Duration(r.random.Float64() * float64(most))
}

// atIf schedules an event of a dispatcher's incarnation, which does not happen once that has ended.
func (r *coldStartRun) atIf(t time.Duration, d *coldDispatcher, do func()) {
	r.at(t, func() {
		if r.runs(d) {
			do()
		}
	})
}

// runs reports whether an incarnation has not ended.
func (r *coldStartRun) runs(d *coldDispatcher) bool { return r.dispatchers[d.index] == d }

func (r *coldStartRun) startDispatchers() {
	for i := range r.dispatchers {
		r.dispatchers[i] = &coldDispatcher{index: i}
		r.at(r.draw(time.Second), func() { r.start(i) })
		if r.random.Float64() < r.Killed {
			r.at(time.Second+r.draw(time.Second), func() { r.start(i) })
		}
	}
}

// start begins a new incarnation of a dispatcher.
func (r *coldStartRun) start(i int) {
	r.incarnations++
	d := &coldDispatcher{index: i, incarnation: r.incarnations, zone: i % r.Zones}
	d.lease = policylease.New(fmt.Sprint("d", i), uint64(d.incarnation), "", statemachine.RefuseWork)
	patience := r.now
	if r.Coordinators {
		patience += waitForCoordinator + backoff.BeforeFirstCall(r.Dispatchers, r.random.Float64())
	}
	d.client = coldstart.NewClient(func() time.Duration { return r.now }, patience)
	r.dispatchers[i] = d
	if r.Coordinators {
		r.requestLease(d)
		r.callListService(d)
		return
	}
	r.atIf(r.now+backoff.BeforeFirstCall(r.Dispatchers, r.random.Float64()), d, func() { r.callListService(d) })
}

// receiveList records that a relayed update has reached a dispatcher.
func (r *coldStartRun) receiveList(d *coldDispatcher, update *relay.Update) {
	if update = d.client.HandleUpdate(update); update != nil && d.listAt == 0 {
		d.listAt = r.now
	}
}

// notifyWatches sends what is new to all dispatchers.
func (r *coldStartRun) notifyWatches() {
	for _, d := range r.dispatchers {
		r.atIf(r.now+minWatchDelay+r.draw(watchJitter), d, func() {
			if d.client == nil {
				return
			}
			update := r.state.UpdateFor(1, d.zone, d.client.Watermark()).RelayedList
			if update != nil {
				d.receivedBytes += relayedEntryBytes * len(update.Entries)
			}
			r.receiveList(d, update)
			r.callListService(d)
		})
	}
}

// command sends a command to the coordinators and calls then with its result, or with false where none is up.
func (r *coldStartRun) command(command statemachine.Command, then func(result statemachine.Result, ok bool)) {
	delay := minCommandDelay + r.draw(commandJitter)
	r.at(r.now+delay, func() {
		if !r.Coordinators || r.now < r.CoordinatorDelay {
			r.at(r.now+delay, func() { then(statemachine.Result{}, false) })
			return
		}
		r.leaderBusy = max(r.leaderBusy, r.now) + commandProcessing
		r.at(r.leaderBusy, func() {
			before := r.state.Revision
			result := r.state.Apply(command)
			r.at(r.now+commitDelay+delay, func() { then(result, true) })
			if r.state.Revision != before {
				r.notifyWatches()
			}
		})
	})
}

// requestLease asks the coordinators for a lease, unless a request is under way.
func (r *coldStartRun) requestLease(d *coldDispatcher) {
	if d.leaseRequested {
		return
	}
	d.leaseRequested = true
	sentAt := r.now
	request := d.lease.NextRequest(r.now)
	request.Zone, request.ColdStart = d.zone, d.client.NextRequest()
	r.command(statemachine.Command{LeaseRequest: &request}, func(result statemachine.Result, ok bool) {
		if !r.runs(d) {
			return
		}
		d.leaseRequested = false
		if ok {
			r.handleLease(d, sentAt, result)
		} else {
			r.retryLease(d)
		}
	})
}

func (r *coldStartRun) retryLease(d *coldDispatcher) {
	d.failures++
	delay := float64(min(retryBase<<min(d.failures, 4), retryMost)) * (0.5 + r.random.Float64())
	r.atIf(r.now+time.Duration(delay), d, func() { r.requestLease(d) })
}

// handleLease takes in the answer to a lease request, and schedules the next one.
func (r *coldStartRun) handleLease(d *coldDispatcher, sentAt time.Duration, result statemachine.Result) {
	actions := d.lease.HandleResult(sentAt, result)
	if actions.ApplyPolicy != nil {
		d.lease.PolicyApplied(*actions.ApplyPolicy)
		d.client.SetEnabled(true)
		r.requestLease(d)
		return
	}
	if result.LeaseDuration > 0 && result.ColdStart != nil {
		update, _ := d.client.HandleResponse(sentAt, d.lease.LeaseExpiry(), result.ColdStart)
		if update != nil {
			d.receivedBytes += relayedEntryBytes * len(update.Entries)
			if d.listAt == 0 {
				d.listAt = r.now
			}
		}
		r.callListService(d)
	}
	due := r.now + time.Duration(float64(d.lease.RenewalInterval())*(0.8+0.2*r.random.Float64()))
	r.at(r.now+d.lease.RenewalInterval()/4, func() { r.renewWhenDue(d, due) })
}

// renewWhenDue requests the next lease when it is due or the client has something urgent, and else looks again.
func (r *coldStartRun) renewWhenDue(d *coldDispatcher, due time.Duration) {
	switch {
	case !r.runs(d) || d.leaseRequested:
	case r.now >= due || d.client.Urgent():
		r.requestLease(d)
	default:
		r.at(min(due, r.now+d.lease.RenewalInterval()/4), func() { r.renewWhenDue(d, due) })
	}
}

// callListService calls the list service as soon as the dispatcher may.
func (r *coldStartRun) callListService(d *coldDispatcher) {
	if d.watching || d.callScheduled {
		return
	}
	allowed, wait, _ := d.client.MayCall(true, false)
	if !allowed {
		d.callScheduled = true
		r.callAgain(d, max(wait, time.Millisecond))
		// What changes meanwhile calls the service by the lease or the watch.
		if wait > longCallDelay {
			d.callScheduled = false
		}
		return
	}
	d.callScheduled = true
	r.calls = append(r.calls, r.now)
	if r.callsInLastSecond() >= r.CallsPerSecond {
		r.failedCalls++
		d.failures++
		d.client.CallFailed()
		r.callAgain(d, backoff.BeforeRetry(r.Dispatchers, d.failures, r.random.Float64()))
		return
	}
	r.atIf(r.now+time.Second/time.Duration(r.CallsPerSecond), d, func() { r.listAnswered(d) })
}

// callAgain calls the list service after a delay. The flag falls also where the incarnation has ended.
func (r *coldStartRun) callAgain(d *coldDispatcher, delay time.Duration) {
	r.at(r.now+delay, func() {
		d.callScheduled = false
		if r.runs(d) {
			r.callListService(d)
		}
	})
}

// callsInLastSecond returns how many calls came within the second before the newest one.
func (r *coldStartRun) callsInLastSecond() int {
	count := 0
	for j := len(r.calls) - 2; j >= 0 && r.now-r.calls[j] < time.Second; j-- {
		count++
	}
	return count
}

// listAnswered takes in the list service's answer: the dispatcher watches from here on, and the reader of a zone publishes
// the list for the others.
func (r *coldStartRun) listAnswered(d *coldDispatcher) {
	d.watching = true
	if d.listAt == 0 {
		d.listAt = r.now
	}
	token, _ := d.client.CallSucceeded()
	if token == 0 {
		return
	}
	update := &statemachine.ListUpdate{Name: fmt.Sprint("d", d.index), Incarnation: uint64(d.incarnation), Zone: d.zone, FencingToken: token,
		Update: relay.Publication{Generation: 1, Complete: true, Entries: r.entries}}
	r.command(statemachine.Command{ListUpdate: update}, func(result statemachine.Result, ok bool) {
		if r.runs(d) {
			d.client.ListPublished(token, ok && result.Err == "")
		}
	})
}

// tick advances the coordinators' clock.
func (r *coldStartRun) tick() {
	r.state.Apply(statemachine.Command{Tick: &statemachine.Tick{Elapsed: leaseTick, GrantsSeen: r.state.GrantCount}})
	r.at(r.now+leaseTick, r.tick)
}

// play carries the events out in order.
func (r *coldStartRun) play() {
	const startsEnd = 3 * time.Second // no dispatcher is killed after that
	for r.step(cmp.Or(r.Horizon, time.Minute)) {
		if r.now > startsEnd && !slices.ContainsFunc(r.dispatchers, func(d *coldDispatcher) bool { return d.listAt == 0 }) {
			return
		}
	}
}

func (r *coldStartRun) result() ColdStartResult {
	out := ColdStartResult{ListCalls: len(r.calls), FailedCalls: r.failedCalls, PeakCalls: r.peakCalls()}
	var ready []time.Duration
	for _, d := range r.dispatchers {
		out.Bytes += float64(d.receivedBytes) / float64(r.Dispatchers)
		if d.listAt > 0 {
			ready = append(ready, d.listAt)
		} else {
			out.WithoutList++
		}
	}
	slices.Sort(ready)
	if len(ready) > 0 {
		out.Median, out.Last = ready[len(ready)/2], ready[len(ready)-1]
		out.Percentile95 = ready[min(int(0.95*float64(len(r.dispatchers))), len(ready)-1)]
	}
	return out
}

// peakCalls returns the most calls within a second.
func (r *coldStartRun) peakCalls() int {
	peak := 0
	for i, t := range r.calls {
		peak = max(peak, sort.Search(len(r.calls)-i, func(j int) bool { return r.calls[i+j] >= t+time.Second }))
	}
	return peak
}
