package coldstart

import "time"

// MayCall reports whether the list service may be called now; else what to wait for, and for how long at most. fresh says
// that the list service has to handle the call, instead of carrying on a watch; independent that no relayed list can
// replace it.
func (c *Client) MayCall(fresh, independent bool) (ok bool, wait time.Duration, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if now < c.firstCall {
		return false, c.firstCall - now, c.changed
	}
	c.calls.wanted, c.calls.independent = false, independent
	switch {
	case !c.enabled:
		return true, 0, nil // it calls by its own random pauses
	case !c.holdsLease(now):
		return c.mayCallWithoutLease(now, fresh)
	}
	untilExpiry := c.leaseExpiry - now
	if c.relayActive && c.reader.fencingToken == 0 && !independent {
		return false, untilExpiry, c.changed // another reads for it, or will; without a lease it calls itself
	}
	if !fresh {
		return true, 0, nil
	}
	if ok, wait = c.calls.holder.MayCall(now); ok {
		return true, 0, nil
	}
	if wait < 0 { // another token is needed
		c.calls.wanted = true
		wait = untilExpiry
	}
	return false, min(wait, untilExpiry), c.changed
}

// mayCallWithoutLease is MayCall for a dispatcher that can ask nobody. It calls in its slots where it has had a lease, and
// by its own random pauses where it never had one. The caller holds mu.
func (c *Client) mayCallWithoutLease(now time.Duration, fresh bool) (ok bool, wait time.Duration, changed <-chan struct{}) {
	if !fresh || !c.calls.slot.Known() {
		return true, 0, nil
	}
	ok, wait = c.calls.slot.MayCall(now)
	return ok, wait, c.changed
}

// CallSucceeded notes that a call has brought a list. It returns the fencing token under which to publish it (0: this
// dispatcher does not read for its zone), and whether the complete list is due.
func (c *Client) CallSucceeded() (fencingToken uint64, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reader.failedCalls = 0
	if !c.enabled || c.reader.fencingToken == 0 || !c.holdsLease(c.now()) {
		return 0, false
	}
	return c.reader.fencingToken, c.reader.publishedToken != c.reader.fencingToken
}

// ListPublished notes whether the list was published under a fencing token; where not, the complete list is due.
func (c *Client) ListPublished(fencingToken uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reader.publishedToken = 0
	if ok {
		c.reader.publishedToken = fencingToken
	}
}

// CallFailed notes that a call has brought no list. A reader whose calls go on failing resigns.
func (c *Client) CallFailed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reader.failedCalls++
	if c.reader.failedCalls >= resignAfter && c.reader.fencingToken > 0 {
		c.reader.resignedToken = c.reader.fencingToken
		c.watermark.Seq = 0 // what it has missed comes with the complete list, once another reads
	}
}
