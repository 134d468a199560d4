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

// Client is one dispatcher's. Its methods may be called from any goroutine; time is the caller's
// monotonic clock.
type Client struct {
	mu      sync.Mutex
	until   time.Duration // the lease, and all that hangs on it
	bound   bool          // a policy has [start]; else calls are the dispatcher's own affair
	relayed bool          // somebody reads for the zone, or will
	seat    uint64
	said    uint64 // the seat under which the whole list was handed on
	turn    admission.Holder
	wants   bool
	alone   bool
	has     relay.Watermark
	failed  int
	unfit   uint64
	blank   bool
	learned *speeds.Estimates
	changed chan struct{}
	now     func() time.Duration
	first   time.Duration // until then nobody is asked but the keepers; 0: they have answered
}

// NewClient makes one by whose clock leases are counted. The keepers are waited for until a first
// moment of it, which the caller draws, since many may start without any at one moment; from then
// on the list service is asked without them.
func NewClient(now func() time.Duration, first time.Duration) *Client {
	return &Client{blank: true, changed: make(chan struct{}), now: now, first: first}
}

func (d *Client) tellAll() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// SetEnabled says whether a policy in force has [start].
func (d *Client) SetEnabled(bound bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.bound != bound {
		d.bound = bound
		d.tellAll()
	}
}

// Enabled tells whether a policy in force has [start].
func (d *Client) Enabled() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.bound
}

// NextRequest words what it asks for with the next call for its lease; nil where there is nothing to ask.
func (d *Client) NextRequest() *Request {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.bound {
		return nil
	}
	w := &Request{WantsAdmission: d.wants, Independent: d.alone, UsedAdmission: d.turn.UsedToken(), Watermark: d.has, ResignedFencingToken: d.unfit, NeedsSpeeds: d.blank, LearnedSpeeds: d.learned}
	d.learned = nil
	return w
}

// Urgent tells whether to ask soon.
func (d *Client) Urgent() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.bound && d.wants && d.now() < d.until && (d.alone || !d.relayed || d.seat > 0)
}

// SetLearnedSpeeds notes what the module has learned, to be said once.
func (d *Client) SetLearnedSpeeds(s *speeds.Estimates) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.learned = s
}

// HandleResponse takes in what came with a lease that was asked for and holds until then. It returns what
// is new of the list, and of speeds to one that has none.
func (d *Client) HandleResponse(asked, until time.Duration, w *Response) (list *relay.Update, speeds *speeds.Estimates) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w == nil {
		if !d.bound && d.first > 0 {
			d.first = 0 // they answer, and the policy in force leaves starts to each
			d.tellAll()
		}
		return nil, nil
	}
	d.until, d.relayed, d.first = until, w.RelayActive, 0
	if d.seat != w.FencingToken {
		d.seat, d.failed = w.FencingToken, 0
	}
	if w.Admission.Number > 0 {
		d.turn.Accept(asked, d.now(), w.Admission)
	}
	if w.Speeds != nil && d.blank {
		speeds = w.Speeds
	}
	d.blank = false
	d.tellAll()
	return d.take(w.List), speeds
}

// HandleUpdate takes in what a watch has told of the list, which may be old or come twice. Without a
// lease it is not gone by: whoever has none does not know who reads.
func (d *Client) HandleUpdate(u *relay.Update) *relay.Update {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.now() >= d.until {
		return nil
	}
	return d.take(u)
}

func (d *Client) take(u *relay.Update) *relay.Update {
	if u == nil || !d.bound || u.Seq <= d.has.Seq {
		return nil
	}
	d.has.Seq = u.Seq
	d.tellAll()
	return u
}

// ResetList notes that what came of the list was not taken in: all of it is wanted again.
func (d *Client) ResetList() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.has.Seq = 0
}

// Watermark is how far it has the relayed list.
func (d *Client) Watermark() relay.Watermark {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.has
}

// MayCall tells whether the list service may be called now. anew is a call that it has to handle in
// turn, and not a watch carried on; alone is one that no relayed list can stand for. Where not:
// what to wait for, and how long at the most.
func (d *Client) MayCall(anew, alone bool) (ok bool, wait time.Duration, changed <-chan struct{}) {
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
	if ok, wait = d.turn.MayCall(now); ok {
		return true, 0, nil
	}
	if d.wants = wait < 0; d.wants {
		wait = left
	}
	return false, min(wait, left), d.changed
}

// CallSucceeded notes that a call has brought a list. It returns the seat under which to hand it on (0: to
// nobody), and whether the whole list is due.
func (d *Client) CallSucceeded() (seat uint64, whole bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failed = 0
	if !d.bound || d.seat == 0 || d.now() >= d.until {
		return 0, false
	}
	return d.seat, d.said != d.seat
}

// ListPublished notes that it was handed on under a seat; false: it was not, and the whole list is due.
func (d *Client) ListPublished(seat uint64, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.said = seat; !ok {
		d.said = 0
	}
}

// CallFailed notes that a call has brought nothing: a reader that goes on so gives up its seat.
func (d *Client) CallFailed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failed++; d.failed >= unfitAfter && d.seat > 0 {
		d.unfit = d.seat
		d.has.Seq = 0 // what it missed comes with the whole list, once another reads
	}
}
