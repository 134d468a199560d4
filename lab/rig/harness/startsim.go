package harness

// This file owns cold starts in virtual time: the keepers' state, the dispatchers' halves and a
// list service of stated capacity, thousands of them, by seed. The same seed gives the same run.

import (
	"cmp"
	"container/heap"
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

// ColdStart is one play.
type ColdStart struct {
	Seed        uint64
	Dispatchers int
	Zones       int
	Workers     int
	Calls       int           // a second that the list service takes; those beyond fail
	Keepers     bool          // there are any
	Late        time.Duration // they come up so long after the power
	Relay       bool
	Horizon     time.Duration // of the play; 0: a minute
	Killed      float64       // share of the dispatchers that is killed and started again in the first two seconds
}

// Started is what came of it.
type Started struct {
	Calls, Failed, Peak int           // at the list service
	Median, Last, Most  time.Duration // half, all, and 95% of the dispatchers have the list, from the power on
	Bytes               float64       // that a dispatcher had from the keepers
	Never               int           // had none by the end
}

type coldEvent struct {
	at time.Duration
	no int
	do func()
}

type coldEvents []coldEvent

func (h coldEvents) Len() int { return len(h) }
func (h coldEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].no < h[j].no
}
func (h coldEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *coldEvents) Push(x any)   { *h = append(*h, x.(coldEvent)) }
func (h *coldEvents) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

type coldOne struct {
	life          int
	zone          int
	half          *policylease.Holder
	desk          *coldstart.Client
	has           time.Duration // it has the list since then; 0: not yet
	fails         int
	waits, asking bool
	watches       bool // a call of its own was answered, and is carried on
	bytes         int
}

// Run plays it.
func (c ColdStart) Run() (out Started) {
	rnd := rand.New(rand.NewPCG(c.Seed, 17))
	var now time.Duration
	var events coldEvents
	no := 0
	at := func(t time.Duration, do func()) {
		no++
		heap.Push(&events, coldEvent{max(t, now), no, do})
	}
	draw := func(most time.Duration) time.Duration { return time.Duration(rnd.Float64() * float64(most)) }
	state := statemachine.New(statemachine.Config{LeaseDuration: 3 * time.Second, VoteTimeout: 5 * time.Second, OnLeaseLoss: statemachine.RefuseWork, PolicyHistory: 4})
	settings := &coldstart.Settings{Settings: admission.Settings{CallsPerSecond: c.Calls, TokenWindow: 100 * time.Millisecond}, RelayList: c.Relay}
	state.Apply(statemachine.Command{Proposal: &statemachine.Proposal{ID: "one", Text: []byte("x"), ColdStart: settings}})
	entries := make([]relay.Entry, c.Workers)
	for i := range entries {
		entries[i] = relay.Entry{ID: fmt.Sprintf("s-%08x", i*7919), Addr: "10.1.0.1:7070", Zone: "praha-holesovice", Kind: "dual-fast", Weight: 1}
	}
	var calls []time.Duration
	var busy time.Duration // the keeper that leads is, until then
	all := make([]*coldOne, c.Dispatchers)
	var power func(i int)
	var table func(i int)
	var hold func(i int)

	tell := func(i int, u *relay.Update) { // the list has come to a dispatcher
		d := all[i]
		if u = d.desk.HandleUpdate(u); u != nil && d.has == 0 {
			d.has = now
		}
	}
	news := func() { // a watch tells of what is new
		for i := range all {
			life := all[i].life
			at(now+5*time.Millisecond+draw(25*time.Millisecond), func() {
				if d := all[i]; d.life == life && d.desk != nil {
					u := state.UpdateFor(1, d.zone, d.desk.Watermark()).RelayedList
					if u != nil {
						d.bytes += 40 * len(u.Entries)
					}
					tell(i, u)
					table(i)
				}
			})
		}
	}
	command := func(cmd statemachine.Command, then func(r statemachine.Result, ok bool)) {
		way := 2*time.Millisecond + draw(15*time.Millisecond)
		at(now+way, func() {
			if !c.Keepers || now < c.Late {
				at(now+way, func() { then(statemachine.Result{}, false) })
				return
			}
			busy = max(busy, now) + 100*time.Microsecond
			at(busy, func() {
				was := state.Revision
				r := state.Apply(cmd)
				at(now+12*time.Millisecond+way, func() { then(r, true) })
				if state.Revision != was {
					news()
				}
			})
		})
	}
	hold = func(i int) {
		d := all[i]
		if d.asking {
			return
		}
		d.asking = true
		life, asked := d.life, now
		h := d.half.NextRequest(now)
		h.Zone, h.ColdStart = d.zone, d.desk.NextRequest()
		command(statemachine.Command{LeaseRequest: &h}, func(r statemachine.Result, ok bool) {
			if d.life != life {
				return
			}
			d.asking = false
			if !ok {
				d.fails++
				at(now+time.Duration(float64(min(50*time.Millisecond<<min(d.fails, 4), 400*time.Millisecond))*(0.5+rnd.Float64())), func() {
					if d.life == life {
						hold(i)
					}
				})
				return
			}
			todo := d.half.HandleResult(asked, r)
			if todo.ApplyPolicy != nil {
				d.half.PolicyApplied(*todo.ApplyPolicy)
				d.desk.SetEnabled(true)
				hold(i)
				return
			}
			if r.LeaseDuration > 0 && r.ColdStart != nil {
				u, _ := d.desk.HandleResponse(asked, d.half.LeaseExpiry(), r.ColdStart)
				if u != nil {
					d.bytes += 40 * len(u.Entries)
					if d.has == 0 {
						d.has = now
					}
				}
				table(i)
			}
			due := now + time.Duration(float64(d.half.RenewalInterval())*(0.8+0.2*rnd.Float64()))
			var look func()
			look = func() {
				switch {
				case d.life != life || d.asking:
				case now >= due || d.desk.Urgent():
					hold(i)
				default:
					at(min(due, now+d.half.RenewalInterval()/4), look)
				}
			}
			at(now+d.half.RenewalInterval()/4, look)
		})
	}
	table = func(i int) {
		d := all[i]
		if d.watches || d.waits {
			return
		}
		life := d.life
		ok, wait, _ := d.desk.MayCall(true, false)
		if !ok {
			d.waits = true
			at(now+max(wait, time.Millisecond), func() {
				if d.waits = false; d.life == life {
					table(i)
				}
			})
			// What changes meanwhile calls table again by hold and news.
			if wait > 200*time.Millisecond {
				d.waits = false
			}
			return
		}
		d.waits = true
		calls = append(calls, now)
		n := 0
		for j := len(calls) - 2; j >= 0 && now-calls[j] < time.Second; j-- {
			n++
		}
		if n >= c.Calls {
			out.Failed++
			d.fails++
			d.desk.CallFailed()
			at(now+backoff.BeforeRetry(c.Dispatchers, d.fails, rnd.Float64()), func() {
				if d.waits = false; d.life == life {
					table(i)
				}
			})
			return
		}
		at(now+time.Second/time.Duration(c.Calls), func() {
			if d.life != life {
				return
			}
			if d.watches = true; d.has == 0 {
				d.has = now
			}
			seat, _ := d.desk.CallSucceeded()
			if seat == 0 {
				return // it watches from here on
			}
			command(statemachine.Command{ListUpdate: &statemachine.ListUpdate{Name: fmt.Sprint("d", i), Incarnation: uint64(life), Zone: d.zone, FencingToken: seat,
				Update: relay.Publication{Generation: 1, Complete: true, Entries: entries}}}, func(r statemachine.Result, ok bool) {
				if d.life == life {
					d.desk.ListPublished(seat, ok && r.Err == "")
				}
			})
		})
	}
	lives := 0
	power = func(i int) {
		lives++
		d := &coldOne{life: lives, zone: i % c.Zones}
		d.half = policylease.New(fmt.Sprint("d", i), uint64(d.life), "", statemachine.RefuseWork)
		own := func() time.Duration { return now }
		patience := now
		if c.Keepers {
			patience += 10*time.Second + backoff.BeforeFirstCall(c.Dispatchers, rnd.Float64())
		}
		d.desk = coldstart.NewClient(own, patience)
		all[i] = d
		if c.Keepers {
			hold(i)
			table(i)
			return
		}
		life := d.life
		at(now+backoff.BeforeFirstCall(c.Dispatchers, rnd.Float64()), func() {
			if d.life == life {
				table(i)
			}
		})
	}
	for i := range all {
		all[i] = &coldOne{}
		at(draw(time.Second), func() { power(i) })
		if rnd.Float64() < c.Killed {
			at(time.Second+draw(time.Second), func() { power(i) })
		}
	}
	var tick func()
	tick = func() {
		state.Apply(statemachine.Command{Tick: &statemachine.Tick{Elapsed: 100 * time.Millisecond, GrantsSeen: state.GrantCount}})
		at(now+100*time.Millisecond, tick)
	}
	at(c.Late, tick)
	for len(events) > 0 {
		e := heap.Pop(&events).(coldEvent)
		if e.at > cmp.Or(c.Horizon, time.Minute) {
			break
		}
		now = e.at
		e.do()
		if now > 3*time.Second && !slices.ContainsFunc(all, func(d *coldOne) bool { return d.has == 0 }) {
			break
		}
	}
	var ready []time.Duration
	for _, d := range all {
		if out.Bytes += float64(d.bytes) / float64(c.Dispatchers); d.has > 0 {
			ready = append(ready, d.has)
		} else {
			out.Never++
		}
	}
	slices.Sort(ready)
	if len(ready) > 0 {
		out.Median, out.Last = ready[len(ready)/2], ready[len(ready)-1]
		out.Most = ready[min(int(0.95*float64(len(all))), len(ready)-1)]
	}
	out.Calls = len(calls)
	for i, t := range calls {
		out.Peak = max(out.Peak, sort.Search(len(calls)-i, func(j int) bool { return calls[i+j] >= t+time.Second }))
	}
	return out
}
