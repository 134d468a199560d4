package outlier

import (
	"maps"
	"slices"
	"time"
)

// Ejection is a worker that no dispatcher of a zone is to use, but for trials.
type Ejection struct {
	Subject       Incarnation   `cbor:"Of" json:"Of"`
	Zone          int           // for which it holds; or AllZones
	Since         time.Duration // the ejection
	Reporters     int           `cbor:"Against" json:"Against"` // that have seen it fail then
	NextTrial     time.Duration `cbor:"Next" json:"Next"`       // not before then
	TrialBackoff  time.Duration `cbor:"Wait" json:"Wait"`       // after a failed trial; doubles with each in a row
	TrialReporter string        `cbor:"Tried" json:"Tried"`     // that has the trial in flight; empty: there is none
	TrialNumber   uint64        `cbor:"Trial" json:"Trial"`     // of the latest trial
	TrialStarted  time.Duration `cbor:"TriedAt" json:"TriedAt"` // the latest
	TrialsPassed  int           `cbor:"Passed" json:"Passed"`   // in a row
}

// maxTrialBackoff bounds the backoff of trials, in trial intervals.
const maxTrialBackoff = 8

// covers reports whether the ejection holds in a zone.
func (e *Ejection) covers(zone int) bool { return e.Zone == zone || e.Zone == AllZones }

// EjectionNotice says to a dispatcher that a worker is ejected in its zone.
type EjectionNotice struct {
	Subject Incarnation `cbor:"Of"`
	Zone    int         // for which it holds; or AllZones
	Trial   uint64      // the number of the trial that this dispatcher is to make with one job; 0: it sends the worker nothing
}

// eject ejects a worker, unless it is ejected already or too many are.
func (d *Detector) eject(now time.Duration, subject Incarnation, zone, reporters int) {
	if d.ejected(subject, zone) || len(d.Ejections) >= d.maxEjections() && zone == AllZones {
		return
	}
	inZone := 0
	for _, e := range d.Ejections {
		if e.covers(zone) || zone == AllZones {
			inZone++
		}
	}
	if inZone >= d.maxEjections() {
		return
	}
	if zone == AllZones { // it takes the place of ejections from single zones
		d.Ejections = slices.DeleteFunc(d.Ejections, func(e *Ejection) bool { return e.Subject == subject })
	}
	d.Ejections = append(d.Ejections, &Ejection{Subject: subject, Zone: zone, Since: now, Reporters: reporters,
		NextTrial: now + d.Settings.TrialInterval, TrialBackoff: d.Settings.TrialInterval})
	d.Revision++
}

func (d *Detector) ejected(subject Incarnation, zone int) bool {
	return slices.ContainsFunc(d.Ejections, func(e *Ejection) bool { return e.Subject == subject && e.covers(zone) })
}

// maxEjections is how many workers may be ejected at once in any zone: a part of the median of how many the reporters
// know, so that no single one can raise it by a false count.
func (d *Detector) maxEjections() int {
	if len(d.WorkerCounts) == 0 {
		return 0
	}
	counts := slices.Sorted(maps.Values(d.WorkerCounts))
	return int(d.Settings.MaxEjectedShare * float64(counts[(len(counts)-1)/2]))
}

// endUnfounded ends ejections of which no evidence is left: the worker was replaced, or nobody has had a job for it. A
// trial whose reporter has had none, or is gone, is handed to another.
func (d *Detector) endUnfounded(now time.Duration) {
	trialTimeout := max(3*d.Settings.TrialInterval, d.Settings.ObjectionWindow)
	d.Ejections = slices.DeleteFunc(d.Ejections, func(e *Ejection) bool {
		if e.TrialReporter != "" && now-e.TrialStarted > trialTimeout {
			e.TrialReporter, e.NextTrial = "", now
		}
		i, ok := d.find(e.Subject)
		unfounded := !ok || len(d.Records[i].Observations.ByReporter) == 0
		if unfounded {
			d.Revision++
		}
		return unfounded
	})
}

// endTrial takes in the outcome of a trial, if the report is that of one in flight.
func (d *Detector) endTrial(now time.Duration, reporter string, r Report) {
	i := slices.IndexFunc(d.Ejections, func(e *Ejection) bool {
		return e.Subject == r.Subject && e.TrialReporter == reporter && e.TrialNumber == r.Trial
	})
	if i < 0 {
		return
	}
	e := d.Ejections[i]
	e.TrialReporter = ""
	if r.Failures > 0 {
		e.TrialsPassed = 0
		e.TrialBackoff = min(2*e.TrialBackoff, maxTrialBackoff*d.Settings.TrialInterval)
		e.NextTrial = now + e.TrialBackoff
		return
	}
	e.TrialBackoff = d.Settings.TrialInterval // a later failure begins the backoff anew
	e.NextTrial = now + d.Settings.TrialInterval
	e.TrialsPassed++
	if e.TrialsPassed >= d.Settings.TrialsToReinstate {
		d.reinstate(now, i)
	}
}

// reinstate ends an ejection: what was observed up to now does not count any more.
func (d *Detector) reinstate(now time.Duration, ejection int) {
	if i, ok := d.find(d.Ejections[ejection].Subject); ok {
		o := d.Records[i].Observations
		o.ClearedAt, o.SuspectedSince = now, 0
	}
	d.Ejections = slices.Delete(d.Ejections, ejection, ejection+1)
	d.Revision++
}

// NoticesFor returns the ejections that hold for a reporter, and the suspects of which it is to report what it knows.
// It hands out at most one trial that is due; that one is in flight from then on.
func (d *Detector) NoticesFor(now time.Duration, reporter string, zone int) (notices []EjectionNotice, suspects []Incarnation) {
	if d.Settings == nil {
		return nil, nil
	}
	handedOut := false
	for _, e := range d.Ejections {
		if !e.covers(zone) {
			continue
		}
		notice := EjectionNotice{Subject: e.Subject, Zone: e.Zone}
		if e.TrialReporter == "" && now >= e.NextTrial && !handedOut {
			d.TrialCount++
			e.TrialReporter, e.TrialStarted, e.TrialNumber = reporter, now, d.TrialCount
			handedOut = true
		}
		if e.TrialReporter == reporter {
			notice.Trial = e.TrialNumber
		}
		notices = append(notices, notice)
	}
	for _, r := range d.Records {
		if r.Observations.SuspectedSince > 0 && len(suspects) < maxReports {
			suspects = append(suspects, r.Subject)
		}
	}
	return notices, suspects
}

// Notices are the ejections of all zones, without trials.
func (d *Detector) Notices() (notices []EjectionNotice) {
	for _, e := range d.Ejections {
		notices = append(notices, EjectionNotice{Subject: e.Subject, Zone: e.Zone})
	}
	return notices
}
