package coldstart

// This file owns a dispatcher's half: whether it may call the list service now, what it has of
// the relayed list, and what it says of itself with the next call for its lease. It must never
// wait; who does is handed a channel that closes at each change.

import (
	"sync"
	"time"

	"yardflow/internal/fleet/coldstart/admission"
	"yardflow/internal/fleet/coldstart/relay"
	"yardflow/internal/fleet/coldstart/speeds"
)

// unfitAfter calls in a row that bring nothing, a reader gives its seat up.
const unfitAfter = 3

// Desk is one dispatcher's. Its methods may be called from any goroutine; time is the caller's
// monotonic clock.
type Desk struct {
	mu      sync.Mutex
	until   time.Duration // the lease, and all that hangs on it
	bound   bool          // a policy has [start]; else calls are the dispatcher's own affair
	relayed bool          // somebody reads for the zone, or will
	seat    uint64
	said    uint64 // the seat under which the whole list was handed on
	turn    admission.Mine
	wants   bool
	alone   bool
	has     relay.Mark
	failed  int
	unfit   uint64
	blank   bool
	learned *speeds.Speeds
	changed chan struct{}
	now     func() time.Duration
	first   time.Duration // until then nobody is asked but the keepers; 0: they have answered
}

// NewDesk makes one by whose clock leases are counted. The keepers are waited for until a first
// moment of it, which the caller draws, since many may start without any at one moment; from then
// on the list service is asked without them.
func NewDesk(now func() time.Duration, first time.Duration) *Desk {
	return &Desk{blank: true, changed: make(chan struct{}), now: now, first: first}
}

func (d *Desk) tellAll() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// Bind says whether a policy in force has [start].
func (d *Desk) Bind(bound bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.bound != bound {
		d.bound = bound
		d.tellAll()
	}
}

// Bound tells whether a policy in force has [start].
func (d *Desk) Bound() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.bound
}

// Want words what it asks for with the next call for its lease; nil where there is nothing to ask.
func (d *Desk) Want() *Want {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.bound {
		return nil
	}
	w := &Want{Turn: d.wants, Alone: d.alone, Used: d.turn.Used(), Has: d.has, Unfit: d.unfit, Blank: d.blank, Learned: d.learned}
	d.learned = nil
	return w
}

// Urgent tells whether to ask soon.
func (d *Desk) Urgent() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.bound && d.wants && d.now() < d.until && (d.alone || !d.relayed || d.seat > 0)
}

// Learned notes what the module has learned, to be said once.
func (d *Desk) Learned(s *speeds.Speeds) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.learned = s
}

// Hear takes in what came with a lease that was asked for and holds until then. It returns what
// is new of the list, and of speeds to one that has none.
func (d *Desk) Hear(asked, until time.Duration, w *Word) (list *relay.Update, speeds *speeds.Speeds) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w == nil {
		if !d.bound && d.first > 0 {
			d.first = 0 // they answer, and the policy in force leaves starts to each
			d.tellAll()
		}
		return nil, nil
	}
	d.until, d.relayed, d.first = until, w.Relay, 0
	if d.seat != w.Seat {
		d.seat, d.failed = w.Seat, 0
	}
	if w.Turn.No > 0 {
		d.turn.Take(asked, d.now(), w.Turn)
	}
	if w.Speeds != nil && d.blank {
		speeds = w.Speeds
	}
	d.blank = false
	d.tellAll()
	return d.take(w.List), speeds
}

// News takes in what a watch has told of the list, which may be old or come twice. Without a
// lease it is not gone by: whoever has none does not know who reads.
func (d *Desk) News(u *relay.Update) *relay.Update {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.now() >= d.until {
		return nil
	}
	return d.take(u)
}

func (d *Desk) take(u *relay.Update) *relay.Update {
	if u == nil || !d.bound || u.Seq <= d.has.Seq {
		return nil
	}
	d.has.Seq = u.Seq
	d.tellAll()
	return u
}

// Lost notes that what came of the list was not taken in: all of it is wanted again.
func (d *Desk) Lost() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.has.Seq = 0
}

// Has is how far it has the relayed list.
func (d *Desk) Has() relay.Mark {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.has
}

// May tells whether the list service may be called now. anew is a call that it has to handle in
// turn, and not a watch carried on; alone is one that no relayed list can stand for. Where not:
// what to wait for, and how long at the most.
func (d *Desk) May(anew, alone bool) (ok bool, wait time.Duration, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	if now < d.first {
		return false, d.first - now, d.changed
	}
	left := d.until - now
	if d.wants, d.alone = false, alone; !d.bound || left <= 0 {
		return true, 0, nil // nobody to ask: by its own drawn pauses
	}
	if d.relayed && d.seat == 0 && !alone {
		return false, left, d.changed // another reads for it, or will; once the lease is over it asks itself
	}
	if !anew {
		return true, 0, nil
	}
	if ok, wait = d.turn.May(now); ok {
		return true, 0, nil
	}
	if d.wants = wait < 0; d.wants {
		wait = left
	}
	return false, min(wait, left), d.changed
}

// Told notes that a call has brought a list. It returns the seat under which to hand it on (0: to
// nobody), and whether the whole list is due.
func (d *Desk) Told() (seat uint64, whole bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failed = 0
	if !d.bound || d.seat == 0 || d.now() >= d.until {
		return 0, false
	}
	return d.seat, d.said != d.seat
}

// Said notes that it was handed on under a seat; false: it was not, and the whole list is due.
func (d *Desk) Said(seat uint64, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.said = seat; !ok {
		d.said = 0
	}
}

// Failed notes that a call has brought nothing: a reader that goes on so gives up its seat.
func (d *Desk) Failed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failed++; d.failed >= unfitAfter && d.seat > 0 {
		d.unfit = d.seat
		d.has.Seq = 0 // what it missed comes with the whole list, once another reads
	}
}
