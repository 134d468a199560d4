package main

// This file says what took the time of requests that did not end well.

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
)

const (
	// causeRows is how many rows one column of the causes spans.
	causeRows = 5
	// coldSeconds is for how long a worker counts as newly started.
	coldSeconds = 8.3
)

// printCauses prints the requests by cause, in all and by the time of arrival in columns of so many seconds.
func printCauses(out io.Writer, requests []*request, slack, columnSeconds float64) {
	total := map[string]int{}
	byColumn := map[int]map[string]int{}
	for _, q := range requests {
		cause := q.cause(slack)
		total[cause]++
		i := int(q.arrived / columnSeconds)
		if byColumn[i] == nil {
			byColumn[i] = map[string]int{}
		}
		byColumn[i][cause]++
	}
	fmt.Fprintln(out, "\ncause (all requests), and by the time of arrival")
	causes := slices.SortedFunc(maps.Keys(total), func(a, b string) int {
		return cmp.Or(cmp.Compare(total[b], total[a]), cmp.Compare(a, b))
	})
	columns := slices.Sorted(maps.Keys(byColumn))
	fmt.Fprintf(out, "%-34s %6s", "", "all")
	for _, i := range columns {
		fmt.Fprintf(out, " %6.0f", float64(i)*columnSeconds)
	}
	fmt.Fprintln(out)
	for _, cause := range causes {
		fmt.Fprintf(out, "%-34s %6d", cause, total[cause])
		for _, i := range columns {
			fmt.Fprintf(out, " %6d", byColumn[i][cause])
		}
		fmt.Fprintln(out)
	}
}

// cause words what became of a request: in time by the run it had, or what made it late.
func (q *request) cause(slack float64) string {
	last := q.lastAttempt()
	switch {
	case last == nil && q.done == 0:
		return "never answered (killed?)"
	case last == nil:
		return "given up, never sent"
	case last.ended == 0:
		return "out when the log ends"
	case last.outcome != outcomeOK:
		return q.causeOfFailure(last)
	}
	return q.causeOfDelay(last, slack)
}

func (q *request) causeOfFailure(last *attempt) string {
	switch {
	case last.outcome == outcomeTimeout && last.started == 0 && last.connected == 0:
		return "time-out connecting"
	case last.outcome == outcomeTimeout && last.started == 0:
		return "time-out, not started" + last.coldNote()
	case last.outcome == outcomeTimeout:
		return "time-out, started" + last.coldNote()
	}
	return fmt.Sprintf("ended %v, %d tries", last.outcome, len(q.attempts))
}

func (q *request) causeOfDelay(last *attempt, slack float64) string {
	run, before := last.ended-last.started, last.sent-q.arrived
	if last.started == 0 {
		run = last.ended - last.written
	}
	margin := slack + run // twice its own running time, at about speed 1
	if q.class > 0 {
		margin = 2.5*slack + 1.5*run
	}
	switch {
	case last.ended-q.arrived <= margin+run:
		return "in time, about"
	case before > margin/2 && len(q.attempts) > 1:
		return "late: tries before"
	case before > margin/2:
		return "late: held"
	case last.written-last.sent > margin/2:
		return "late: connecting"
	}
	return "late: waited at the worker" + last.coldNote()
}

func (a *attempt) coldNote() string {
	if a.workerAge >= 0 && a.workerAge < coldSeconds {
		return " (cold)"
	}
	return ""
}
