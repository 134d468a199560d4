package virtualday

// This file draws the day's jobs.

import (
	"math"
	"slices"
	"time"

	"yardflow/scheduling/dispatch"
)

// draw draws all of the day's jobs ahead: a Poisson stream, spread evenly over the
// dispatchers. The draws don't depend on what the dispatchers do.
func (d *day) draw() (all []*job) {
	capacity, mean := 0.0, 0.0
	for i := range d.Workers {
		capacity += float64(d.Slots[i%len(d.Slots)]) * d.Speeds[i%len(d.Speeds)]
	}
	for _, c := range d.Classes {
		mean += c.Share * float64(c.Slots) * c.Mean.Seconds()
	}
	rate, most := capacity*d.Load/mean, 1.0
	for _, b := range d.Bursts {
		most = max(most, b.Factor)
	}
	more := 0.0
	for _, s := range d.Surges {
		more += d.Tenants[s.Tenant] * (s.Factor - 1)
	}
	most *= 1 + more
	ends := make([]float64, d.Dispatchers) // running sums of the dispatchers' shares
	sum := 0.0
	for i := range ends {
		if sum++; d.Uneven > 0 {
			sum += math.Exp(d.Uneven*d.rnd.NormFloat64()) - 1
		}
		ends[i] = sum
	}
	for at := base; ; {
		at += time.Duration(d.rnd.ExpFloat64() / (rate * most) * 1e9)
		if at > base+d.Length {
			return all
		}
		if most > 1 { // thinned to what holds at the moment
			now := 1.0
			for _, b := range d.Bursts {
				if at >= base+b.From && at < base+b.To {
					now = b.Factor
				}
			}
			for _, s := range d.Surges {
				if at >= base+s.From && at < base+s.To {
					now *= 1 + d.Tenants[s.Tenant]*(s.Factor-1)
				}
			}
			if d.rnd.Float64()*most > now {
				continue
			}
		}
		u, class := d.rnd.Float64(), 0
		for u -= d.Classes[0].Share; u >= 0 && class+1 < len(d.Classes); u -= d.Classes[class].Share {
			class++
		}
		c := d.Classes[class]
		// The mean of a log-normal is exp(mu + sigma^2/2).
		work := time.Duration(float64(c.Mean) * math.Exp(c.Sigma*d.rnd.NormFloat64()-c.Sigma*c.Sigma/2))
		j := &job{id: dispatch.RequestID(len(all) + 1), class: class, work: work, arrived: at, to: d.pick(ends),
			aim: at + c.LatencyTarget + time.Duration(c.Stretch*float64(work)), deadline: at + c.Deadline}
		j.aim = min(j.aim, j.deadline)
		j.tenant = d.tenant(at)
		all = append(all, j)
	}
}

// tenant draws whose job it is.
func (d *day) tenant(at time.Duration) int {
	if len(d.Tenants) < 2 {
		return 0
	}
	shares, sum := slices.Clone(d.Tenants), 0.0
	for _, s := range d.Surges {
		if at >= base+s.From && at < base+s.To {
			shares[s.Tenant] *= s.Factor
		}
	}
	for _, s := range shares {
		sum += s
	}
	u := d.rnd.Float64() * sum
	for i, s := range shares {
		if u -= s; u < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// pick draws the dispatcher that a job comes to.
func (d *day) pick(ends []float64) int {
	if d.Uneven == 0 {
		return d.rnd.IntN(d.Dispatchers)
	}
	i, _ := slices.BinarySearch(ends, d.rnd.Float64()*ends[len(ends)-1])
	return min(i, len(ends)-1)
}
