package budget

import (
	"container/list"
	"time"
)

// Claim asks for bytes on a connection, before they are held. If they do not fit, connections of the class that stand still
// and claim bytes themselves give way; they are closed already when Claim returns them. None gives way if that is not
// enough. A refused claim changes nothing.
func (b *Budget) Claim(c *Connection, bytes int64, now time.Duration) (evicted []*Connection, granted bool) {
	if c.closed {
		return nil, false
	}
	p := &b.parts[c.class]
	evicted, granted = b.reclaim(p, c, bytes, now)
	if !granted {
		return nil, false
	}
	for _, other := range evicted {
		b.Close(other)
	}
	b.add(p, c, bytes)
	return evicted, true
}

// Release gives bytes of a connection back.
func (b *Budget) Release(c *Connection, bytes int64) {
	if c.closed {
		return
	}
	b.add(&b.parts[c.class], c, -min(bytes, c.claimed))
}

// add changes the claims of a connection.
func (b *Budget) add(p *part, c *Connection, bytes int64) {
	if c.claimed > p.limits.SmallBytes {
		p.large -= c.claimed
		p.larges--
	}
	c.claimed += bytes
	p.claimed += bytes
	if c.claimed > p.limits.SmallBytes {
		p.large += c.claimed
		p.larges++
	}
}

// demand is what is claimed in a class if a claim is granted.
type demand struct {
	claimed int64
	large   int64
	larges  int
}

// fits reports whether a demand is within the limits.
func (d demand) fits(limits ClassLimits) bool {
	return d.claimed <= limits.Bytes && (d.large <= limits.LargeBytes || d.larges <= 1)
}

// without returns the demand once a connection with claims is closed.
func (d demand) without(claimed int64, limits ClassLimits) demand {
	d.claimed -= claimed
	if claimed > limits.SmallBytes {
		d.large -= claimed
		d.larges--
	}
	return d
}

// reclaim returns the connections that have to give way for a claim, and reports whether the claim fits then.
func (b *Budget) reclaim(p *part, c *Connection, bytes int64, now time.Duration) (evicted []*Connection, fits bool) {
	total := c.claimed + bytes
	wanted := demand{claimed: p.claimed, large: p.large, larges: p.larges}.without(c.claimed, p.limits)
	wanted.claimed += total
	isLarge := total > p.limits.SmallBytes
	if isLarge {
		wanted.large += total
		wanted.larges++
	}
	if wanted.fits(p.limits) {
		return nil, true
	}
	onlyLarge := wanted.claimed <= p.limits.Bytes // small claims need not give way
	for _, queue := range []*list.List{&p.unproven, &p.incomplete, &p.answering} {
		for element := queue.Front(); element != nil; element = element.Next() {
			other := element.Value.(*Connection)
			if now-other.progressAt < b.stallAfter {
				break // the others in this list have made progress later
			}
			if other == c || other.claimed == 0 || onlyLarge && other.claimed <= p.limits.SmallBytes {
				continue
			}
			evicted = append(evicted, other)
			wanted = wanted.without(other.claimed, p.limits)
			if wanted.fits(p.limits) {
				return evicted, true
			}
		}
	}
	return nil, false
}
