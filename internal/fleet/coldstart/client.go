package coldstart

import (
	"sync"
	"time"

	"yardflow/internal/fleet/coldstart/admission"
	"yardflow/internal/fleet/coldstart/relay"
	"yardflow/internal/fleet/coldstart/speeds"
)

// resignAfter is after how many failed calls in a row a reader resigns, so that another dispatcher reads for the zone.
const resignAfter = 3

// Client is a dispatcher's half: whether it may call the list service now, what it has of the relayed list, and what it
// asks for with the next request for its lease. It never waits; a caller that has to gets a channel that is closed at each
// change. Its methods are safe for concurrent use; times are by the clock that it was made with.
type Client struct {
	now func() time.Duration // the monotonic clock on which leases count

	mu            sync.Mutex
	changed       chan struct{}
	enabled       bool          // the policy in force has [start]; else calls are the dispatcher's own affair
	leaseExpiry   time.Duration // all that the coordinators said hangs on the lease
	firstCall     time.Duration // until then only the coordinators are asked; 0: they have answered
	calls         callAdmission
	reader        reader
	relayActive   bool // somebody reads for the zone, or will
	watermark     relay.Watermark
	needsSpeeds   bool
	learnedSpeeds *speeds.Estimates // to be reported once
}

// callAdmission is the right to call the list service.
type callAdmission struct {
	slot        admission.SlotHolder // for calls without a lease
	holder      admission.Holder
	wanted      bool // another token is needed for the call that is waited with
	independent bool // that call is for this dispatcher alone, whoever reads
}

// reader is the task of reading the list for the zone.
type reader struct {
	fencingToken   uint64 // 0: this dispatcher does not read
	publishedToken uint64 // under which the complete list was published
	failedCalls    int    // in a row
	resignedToken  uint64
}

// NewClient returns the half of a dispatcher. Until firstCall on its clock it waits for the coordinators, then it calls the
// list service without them. The caller draws firstCall at random, since many may start without coordinators at one moment.
func NewClient(now func() time.Duration, firstCall time.Duration) *Client {
	return &Client{needsSpeeds: true, changed: make(chan struct{}), now: now, firstCall: firstCall}
}

// notify wakes those that wait for a change. The caller holds mu.
func (c *Client) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// SetEnabled says whether the policy in force has [start].
func (c *Client) SetEnabled(enabled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.enabled != enabled {
		c.enabled = enabled
		c.notify()
	}
}

// Enabled reports whether the policy in force has [start].
func (c *Client) Enabled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.enabled
}

// holdsLease reports whether what the coordinators said still holds. The caller holds mu.
func (c *Client) holdsLease(now time.Duration) bool { return now < c.leaseExpiry }

// NextRequest returns what to ask for with the next request for the lease; nil: nothing.
func (c *Client) NextRequest() *Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.enabled {
		return nil
	}
	request := &Request{WantsAdmission: c.calls.wanted, Independent: c.calls.independent, UsedAdmission: c.calls.holder.UsedToken(),
		Watermark: c.watermark, ResignedFencingToken: c.reader.resignedToken, NeedsSpeeds: c.needsSpeeds, LearnedSpeeds: c.learnedSpeeds}
	c.learnedSpeeds = nil
	return request
}

// Urgent reports whether to request soon.
func (c *Client) Urgent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	mayCall := c.calls.independent || !c.relayActive || c.reader.fencingToken > 0
	return c.enabled && c.calls.wanted && c.holdsLease(c.now()) && mayCall
}

// HandleResponse takes in what came with a lease that was requested at one moment and expires at another; nil where the
// answer had nothing. It returns what is new of the list, and speeds if this dispatcher has learned none; nil: nothing.
func (c *Client) HandleResponse(requested, expiry time.Duration, r *Response) (*relay.Update, *speeds.Estimates) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r == nil {
		if !c.enabled && c.firstCall > 0 {
			c.firstCall = 0 // the coordinators answer, and by the policy in force each dispatcher starts by itself
			c.notify()
		}
		return nil, nil
	}
	c.leaseExpiry, c.relayActive, c.firstCall = expiry, r.RelayActive, 0
	if c.reader.fencingToken != r.FencingToken {
		c.reader.fencingToken, c.reader.failedCalls = r.FencingToken, 0
	}
	if r.Slot != nil {
		c.calls.slot.Accept(requested, c.now(), *r.Slot)
	}
	if r.Admission.Number > 0 {
		c.calls.holder.Accept(requested, c.now(), r.Admission)
	}
	var known *speeds.Estimates
	if c.needsSpeeds {
		known = r.Speeds
	}
	c.needsSpeeds = false
	c.notify()
	return c.advance(r.List), known
}

// HandleUpdate takes in what a watch has brought of the list, which may be old or a duplicate. It returns what is new;
// nil: nothing. Without a lease it ignores the update: it does not know who reads.
func (c *Client) HandleUpdate(u *relay.Update) *relay.Update {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.holdsLease(c.now()) {
		return nil
	}
	return c.advance(u)
}

// advance raises the watermark and returns the update, unless it is old. The caller holds mu.
func (c *Client) advance(u *relay.Update) *relay.Update {
	if u == nil || !c.enabled || u.Seq <= c.watermark.Seq {
		return nil
	}
	c.watermark.Seq = u.Seq
	c.notify()
	return u
}

// ResetList notes that an update could not be applied: the complete list is needed again.
func (c *Client) ResetList() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watermark.Seq = 0
}

// Watermark is up to which change this dispatcher has the relayed list.
func (c *Client) Watermark() relay.Watermark {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.watermark
}

// SetLearnedSpeeds notes what the decision module has learned of speeds, to be reported once.
func (c *Client) SetLearnedSpeeds(learned *speeds.Estimates) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.learnedSpeeds = learned
}
