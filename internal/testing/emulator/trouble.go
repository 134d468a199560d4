package emulator

import (
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// contactSpan is for how long nothing may have befallen a machine, and the core, for it to count as in touch (ContactMs).
	contactSpan = 5 * time.Second
	// coreSubject stands for all control machines together: what befalls one of them befalls the core.
	coreSubject = "core"
)

// troubleLog records what befalls machines and their links. Rules with a time bound hold for machines in touch alone.
//
// It is there for a judge who must not err, so it counts a machine as out of touch wherever it cannot tell: any trouble of
// any control machine counts for the whole core, a path that is cut in one direction counts as none, and where the sender of
// an order is not known all dispatchers have to be in touch. Cuts between a machine and the platform do not count: another
// one can read the list. Nor do configurations, and links that are slow all the time.
type troubleLog struct {
	mu       sync.Mutex
	coreSize int
	runs     map[string]bool      // by control machine that was ever started
	last     map[string]time.Time // newest trouble, by subject
	lasting  map[string]int       // troubles that have not ended, by subject
	cuts     map[[2]string]bool   // machines, from and to
}

func newTroubleLog(coreSize int) *troubleLog {
	return &troubleLog{coreSize: coreSize, runs: map[string]bool{}, last: map[string]time.Time{}, lasting: map[string]int{},
		cuts: map[[2]string]bool{}}
}

func isCore(machine string) bool       { return strings.HasPrefix(machine, "core-") }
func isDispatcher(machine string) bool { return strings.HasPrefix(machine, "front-") }
func isWorker(machine string) bool     { return strings.HasPrefix(machine, "worker-") }

func subjectOf(machine string) string {
	if isCore(machine) {
		return coreSubject
	}
	return machine
}

// begin records that a trouble of a machine begins; it lasts until the returned function is called.
func (l *troubleLog) begin(machine string) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	subject := subjectOf(machine)
	l.lasting[subject]++
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.lasting[subject]--
		l.last[subject] = time.Now()
	}
}

// setRuns records that a machine's process starts, or ends.
func (l *troubleLog) setRuns(machine string, runs bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if isCore(machine) {
		l.runs[machine] = runs
	}
	l.last[subjectOf(machine)] = time.Now()
}

// setCut records that a pair of machines is cut in one direction, or joined again.
func (l *troubleLog) setCut(from, to string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	pair := [2]string{from, to}
	if from == cloudName || to == cloudName || l.cuts[pair] == cut {
		return
	}
	l.cuts[pair] = cut
	for _, subject := range cutSubjects(from, to) {
		l.last[subject] = time.Now()
	}
}

// cutSubjects returns for whom a cut between two machines is a trouble: for the worker alone where one is at an end, and for
// the core only where both are control machines.
func cutSubjects(from, to string) []string {
	switch {
	case isWorker(from):
		return []string{from}
	case isWorker(to):
		return []string{to}
	case isCore(from) == isCore(to):
		return []string{subjectOf(from), subjectOf(to)}
	case isCore(from):
		return []string{to}
	}
	return []string{from}
}

// resetAll records that all connections are reset.
func (l *troubleLog) resetAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for subject := range l.last {
		l.last[subject] = time.Now()
	}
}

// inTouch reports whether the sender of an order to a worker was in touch at a time, and nothing held the order up. What has
// befallen them since counts too: it may have begun before it was recorded.
func (l *troubleLog) inTouch(sender, worker string, at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isCoreStable(at) || !l.isUndisturbed(worker, at) {
		return false
	}
	if isDispatcher(sender) {
		return l.isUndisturbed(sender, at)
	}
	for subject := range l.last {
		if isDispatcher(subject) && !l.isUndisturbed(subject, at) {
			return false
		}
	}
	return true
}

// isUndisturbed reports whether nothing had befallen a machine lately at a time, and none of its paths is cut.
func (l *troubleLog) isUndisturbed(machine string, at time.Time) bool {
	for pair, cut := range l.cuts {
		if cut && slices.Contains(cutSubjects(pair[0], pair[1]), machine) {
			return false
		}
	}
	return l.isCalm(machine, at)
}

// newest returns when something has befallen any machine last: now, if something lasts.
func (l *troubleLog) newest() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := time.Time{}
	for subject, last := range l.last {
		if l.lasting[subject] > 0 {
			return time.Now()
		}
		if last.After(newest) {
			newest = last
		}
	}
	return newest
}

func (l *troubleLog) isCalm(subject string, at time.Time) bool {
	last, known := l.last[subject]
	return l.lasting[subject] == 0 && (!known || at.Sub(last) > contactSpan)
}

// isCoreStable reports whether nothing had befallen the core lately at a time, and more than half of it runs and is connected.
func (l *troubleLog) isCoreStable(at time.Time) bool {
	if !l.isCalm(coreSubject, at) {
		return false
	}
	most := 0
	for one, runs := range l.runs {
		reached := 0
		for other, otherRuns := range l.runs {
			there, back := l.cuts[[2]string{one, other}], l.cuts[[2]string{other, one}]
			if there != back {
				return false // in one direction: it cannot tell
			}
			if runs && otherRuns && !there {
				reached++
			}
		}
		most = max(most, reached)
	}
	return most > l.coreSize/2
}

// recordedTransport is a Transport of which the trouble is recorded.
type recordedTransport struct {
	Transport
	troubles *troubleLog
}

func (r *recordedTransport) Kill(name string) {
	r.troubles.setRuns(name, false)
	r.Transport.Kill(name)
}

func (r *recordedTransport) PowerOff(name string) {
	r.troubles.setRuns(name, false)
	r.Transport.PowerOff(name)
}

func (r *recordedTransport) Reset() {
	r.troubles.resetAll()
	r.Transport.Reset()
}

func (r *recordedTransport) Cut(from, to string, cut bool) {
	r.troubles.setCut(from, to, cut)
	r.Transport.Cut(from, to, cut)
}

// RecordStart records that a machine's process, which runs elsewhere, is started.
func (y *Cluster) RecordStart(machine string) { y.troubles.setRuns(machine, true) }

// BeginTrouble records that something befalls a machine that runs elsewhere, until the returned function is called.
func (y *Cluster) BeginTrouble(machine string) (end func()) { return y.troubles.begin(machine) }
