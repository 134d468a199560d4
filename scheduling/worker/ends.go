package worker

import (
	"time"

	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

// Limits for ends of runs and their acknowledgement.
const (
	// maxEndsPerAnswer is the maximum number of ends that a worker lists, by the protocol. A list of this length may be
	// incomplete.
	maxEndsPerAnswer = 500
	// idleAcknowledgeDelay is how long the acknowledgement of an idle worker's last ends is delayed, so that one poll
	// acknowledges several. A busy worker is polled anyway.
	idleAcknowledgeDelay = 800 * time.Millisecond
)

// endLog tracks the ends of runs. The worker numbers ends from 1 and lists each one until it is acknowledged. An end is
// acknowledged only once the control machines have committed it and all earlier ends, because the worker then forgets it.
type endLog struct {
	reported     map[uint64]bool // by number, the listed ends above acknowledged; true: committed
	highest      uint64          // number of the newest end that the worker has listed
	acknowledged uint64          // number of the end up to which all are committed
	delivered    uint64          // highest AcknowledgedEnd of the accepted polls
	committedAt  time.Duration   // when a commit last raised acknowledged
}

// record adds a listed end and reports whether it is new.
func (l *endLog) record(number uint64) bool {
	if number <= l.acknowledged {
		return false
	}
	l.highest = max(l.highest, number)
	if _, known := l.reported[number]; known {
		return false
	}
	if len(l.reported) == 0 && l.acknowledged == 0 {
		l.acknowledged = number - 1 // a previous owner has acknowledged the earlier ends
	}
	l.reported[number] = false
	return true
}

// advance raises acknowledged over all consecutive committed ends, and returns it.
func (l *endLog) advance() uint64 {
	for l.reported[l.acknowledged+1] {
		l.acknowledged++
		delete(l.reported, l.acknowledged)
	}
	return l.acknowledged
}

// commit records that the control machines have committed an end.
func (l *endLog) commit(now time.Duration, number uint64) {
	if number > l.acknowledged {
		l.reported[number] = true
	}
	if before := l.acknowledged; l.advance() > before {
		l.committedAt = now
	}
}

// AcknowledgeEnd records that the control machines have committed the end with that number.
func (o *Owner) AcknowledgeEnd(now time.Duration, number uint64) {
	o.ends.commit(now, number)
	if o.ends.acknowledged >= o.ends.highest {
		o.polls.notBefore = 0
	}
	o.collectActions(now)
}

// needsAcknowledgement reports whether a poll must acknowledge committed ends to an idle worker.
func (o *Owner) needsAcknowledgement(now time.Duration) bool {
	return o.contact.reachable && o.contact.established && len(o.runs) == 0 && o.ends.acknowledged > o.ends.delivered &&
		now-o.ends.committedAt >= idleAcknowledgeDelay
}

// collectEnds reports the new ends. For each end, new or not, whose run is the placed one, it adds the task to listed.
func (o *Owner) collectEnds(ends []EndedRun, listed map[string]bool) {
	for _, end := range ends {
		r := o.runs[end.Task]
		placed := r != nil && r.Run == end.Run
		if o.ends.record(end.Number) {
			if placed {
				r.phase = ended
			}
			o.reportEnd(end, ReportedByWorker)
		}
		if placed {
			listed[end.Task] = true
		}
	}
}

// reportEnd adds the report of an end to the actions. If the task's name does not parse, no dispatcher has placed the
// task, so the end counts as committed instead.
func (o *Owner) reportEnd(end EndedRun, evidence Evidence) {
	id, key, ok := job.ParseTaskName(end.Task)
	if !ok {
		if end.Number > 0 {
			o.ends.reported[end.Number] = true
		}
		return
	}
	o.actions.Reports = append(o.actions.Reports, EndReport{end.Number, taskrun.Ended{Worker: o.id, Job: id, Task: key,
		Run: end.Run, Reason: end.Reason, Checkpoint: end.Checkpoint, Token: o.token}, evidence})
}
