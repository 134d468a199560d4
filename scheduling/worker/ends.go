package worker

import (
	"time"

	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

// Bounds of ends and their acknowledgement.
const (
	// maxEndsPerAnswer is how many ends a worker lists at most, by the protocol: a full list does not show what it lacks.
	maxEndsPerAnswer = 500
	// idleAcknowledgeDelay is how long an idle worker waits for the acknowledgement of its last ends, so that one poll
	// acknowledges several. A busy one is polled anyway.
	idleAcknowledgeDelay = 800 * time.Millisecond
)

// endLog follows the ends of runs, which a worker numbers from 1 and lists until they are acknowledged. An end is
// acknowledged only once the control machines have committed it and all before it: the worker forgets it then.
type endLog struct {
	reported     map[uint64]bool // ends above acknowledged by number; true: committed
	highest      uint64          // the newest end that the worker has listed
	acknowledged uint64          // the end up to which all are committed
	delivered    uint64          // AcknowledgedEnd of the newest poll that was answered
	committedAt  time.Duration   // when acknowledged last rose by a commit
}

// record adds a listed end, and reports whether it is new.
func (l *endLog) record(number uint64) bool {
	if number <= l.acknowledged {
		return false
	}
	l.highest = max(l.highest, number)
	if _, known := l.reported[number]; known {
		return false
	}
	if len(l.reported) == 0 && l.acknowledged == 0 {
		l.acknowledged = number - 1 // a former owner had the worker acknowledge what came before
	}
	l.reported[number] = false
	return true
}

// advance raises the acknowledged end over all that are committed without a gap, and returns it.
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
	o.act(now)
}

// owesAcknowledgement reports whether an idle worker is due to learn which of its ends are committed.
func (o *Owner) owesAcknowledgement(now time.Duration) bool {
	return o.contact.reachable && o.contact.established && len(o.runs) == 0 && o.ends.acknowledged > o.ends.delivered &&
		now-o.ends.committedAt >= idleAcknowledgeDelay
}

// collectEnds reports the ends that are new, and adds the tasks to listed whose placed run is among all of them.
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

// reportEnd adds an end to the actions. One of a task whose name does not parse counts as committed: nobody has placed it.
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
