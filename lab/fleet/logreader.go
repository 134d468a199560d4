package main

// This file reads one dispatcher's log: it follows each request from its arrival to its end, and
// counts what happened by second of the day and by worker.

import (
	"bufio"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

// startNotification is the kind of a notification which says that a worker has started a job.
const startNotification = "1"

// logReader reads the log of one dispatcher, which may hold several lives of it.
type logReader struct {
	file    string
	counts  *counts
	open    map[string]*request // by id
	started map[string]float64  // when workers started, as the list says: Unix ms
	all     []*request

	firstClock time.Time // the dispatcher's clock at the day's second 0
	dayStart   float64   // Unix ms at the day's second 0, roughly; 0: not known yet
}

// logLine is one line of a log: when it was written, and what it says.
type logLine struct {
	second float64 // of the day
	words  []string
}

// value returns the value of a word of the form name=value, empty where there is none.
func (l *logLine) value(name string) string {
	for _, word := range l.words {
		if v, ok := strings.CutPrefix(word, name+"="); ok {
			return v
		}
	}
	return ""
}

// number returns the value of a word of the form name=value as a number, 0 where there is none.
func (l *logLine) number(name string) float64 {
	v, _ := strconv.ParseFloat(l.value(name), 64)
	return v
}

func (l *logLine) has(word string) bool { return slices.Contains(l.words, word) }

// readLog counts what one dispatcher's log says, and returns its requests.
func readLog(file string, log io.Reader, counts *counts) ([]*request, error) {
	r := &logReader{file: file, counts: counts, open: map[string]*request{}, started: map[string]float64{}}
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		if line, ok := r.parse(lines.Text()); ok {
			r.take(&line)
		}
	}
	return r.all, lines.Err()
}

// parse splits a line; ok is false where it does not begin with the second of the day.
func (r *logReader) parse(text string) (line logLine, ok bool) {
	words := strings.Fields(text)
	if len(words) < 3 {
		return logLine{}, false
	}
	second, err := strconv.ParseFloat(strings.Trim(words[0], "[]"), 64)
	if err != nil {
		return logLine{}, false
	}
	if clock, err := time.Parse("15:04:05", words[1]); err == nil {
		// The second is rounded; the dispatcher's own clock is not.
		if r.firstClock.IsZero() {
			r.firstClock = clock.Add(-time.Duration(second * float64(time.Second)))
		}
		second = clock.Sub(r.firstClock).Seconds()
	}
	return logLine{second: second, words: words[2:]}, true
}

// take counts what a line says.
func (r *logReader) take(line *logLine) {
	switch line.words[0] {
	case "ask":
		r.counts.row(line.second).asks++
	case "asked":
		if line.value("err") != "<nil>" {
			r.counts.row(line.second).askFails++
		} else {
			r.counts.row(line.second).lists++
		}
	case "list":
		if len(line.words) > 2 {
			r.takeListed(line)
		}
	case "arrive":
		q := &request{file: r.file, class: int(line.number("class")), arrived: line.second}
		r.open[line.words[1]], r.all = q, append(r.all, q)
		r.counts.row(line.second).arrived++
	default:
		if len(line.words) > 1 {
			if q := r.open[line.words[1]]; q != nil {
				r.takeOf(q, line)
			}
		}
	}
}

// takeOf counts what a line says of a request.
func (r *logReader) takeOf(q *request, line *logLine) {
	switch line.words[0] {
	case "send":
		r.takeSend(q, line)
		return
	case "answer":
		q.done, q.verdict = line.second, int(line.number("verdict"))
		return
	}
	last := q.lastAttempt()
	if last == nil {
		return
	}
	switch {
	case line.words[0] == "try" && line.has("conn"):
		last.connected, last.reused = line.second, line.value("reused") == "true"
		if !last.reused {
			r.counts.row(line.second).freshConnections++
		}
	case line.words[0] == "try" && line.has("wrote"):
		last.written = line.second
	case line.words[0] == "note" && line.value("kind") == startNotification:
		r.takeStart(last, line)
	case line.words[0] == "end":
		r.takeEnd(q, last, line)
	}
}

func (r *logReader) takeSend(q *request, line *logLine) {
	sent := &attempt{worker: line.value("to"), sent: line.second, workerAge: unknownAge}
	if started := r.started[sent.worker]; started > 0 && r.dayStart > 0 {
		sent.workerAge = line.second - (started-r.dayStart)/1000
	}
	q.attempts = append(q.attempts, sent)
	r.counts.row(line.second).sent++
	r.counts.worker(sent.worker).sends++
}

// takeStart counts the start of an attempt; its wait counts in the row in which it was sent.
func (r *logReader) takeStart(a *attempt, line *logLine) {
	if a.started != 0 {
		return
	}
	a.started = line.second
	wait := line.second - a.sent
	row := r.counts.row(a.sent)
	row.waits = append(row.waits, wait)
	w := r.counts.worker(line.value("to"))
	w.started++
	w.waited += wait
}

func (r *logReader) takeEnd(q *request, a *attempt, line *logLine) {
	a.ended, a.outcome = line.second, outcome(line.number("code"))
	w := r.counts.worker(line.value("to"))
	r.counts.row(line.second).outcomes[a.outcome]++
	w.outcomes[a.outcome]++
	if a.outcome != outcomeOK {
		return
	}
	q.done = line.second
	if a.started > 0 {
		w.completed++
		w.ran += line.second - a.started
	}
}

// takeListed takes up what the list says of a worker.
func (r *logReader) takeListed(line *logLine) {
	id := line.words[2]
	if started := line.number("started"); started > 0 {
		// The newest start listed is a little in the past: good enough to tell cold from warm.
		r.started[id] = started
		r.dayStart = max(r.dayStart, started-1000*line.second)
	}
	if kind := line.value("kind"); kind != "" {
		w := r.counts.worker(id)
		w.kind, w.zone = kind, line.value("zone")
	}
}
