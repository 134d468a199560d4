// Fleet counts, over the logs of all dispatchers of a day, what each of them did:
// what is harmless at one and harmful when all do it shows in sums alone. The logs
// are those that [log] trace = true in the operator's file makes.
//
// It reads a folder of logs, one file a dispatcher, each line begun by the second of
// the day. It must never be needed to run the dispatcher, and it judges nothing: it
// prints counts, by second of the day, by cause of lateness and by worker.
//
//	go run ./lab/fleet -every 1 -workers 20 logs
package main

import (
	"cmp"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
)

func main() {
	rowSeconds := flag.Float64("every", 1, "length of a row, in seconds")
	listedWorkers := flag.Int("workers", 12, "how many workers to list, most waited for first")
	slack := flag.Float64("aim", 0.2, "slack of an in-time answer, in seconds, beside the stretch")
	flag.Parse()
	if err := run(os.Stdout, flag.Arg(0), *rowSeconds, *listedWorkers, *slack); err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", err)
		os.Exit(1)
	}
}

func run(out io.Writer, folder string, rowSeconds float64, listedWorkers int, slack float64) error {
	files, _ := filepath.Glob(filepath.Join(folder, "*.log"))
	if len(files) == 0 {
		return fmt.Errorf("no logs in %s", folder)
	}
	c := newCounts(rowSeconds)
	var requests []*request
	for _, path := range files {
		ofFile, err := readFile(path, c)
		if err != nil {
			return err
		}
		requests = append(requests, ofFile...)
	}
	fmt.Fprintf(out, "%d dispatchers, %d requests, %d workers\n\n", len(files), len(requests), len(c.workers))
	c.printRows(out)
	printCauses(out, requests, slack, causeRows*rowSeconds)
	c.printWorkers(out, listedWorkers)
	return nil
}

func readFile(path string, c *counts) ([]*request, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return readLog(path, f, c)
}

// unknownAge is the age of a worker whose start the list has not named.
const unknownAge = -1

// outcome is how an attempt ended, by the code in the log.
type outcome int

const (
	outcomeOK      outcome = 0
	outcomeTimeout outcome = 3
)

// outcomeNames are the outcomes' names, by code.
var outcomeNames = []string{"ok", "failed", "full", "timeout", "connect", "broken", "cancelled", "neversent", "unknown", "dropped"}

func (o outcome) String() string {
	if o >= 0 && int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return strconv.Itoa(int(o))
}

// attempt is one attempt as its dispatcher saw it; times are seconds of the day, 0: never.
type attempt struct {
	worker                                   string
	sent, connected, written, started, ended float64
	reused                                   bool // its connection
	outcome                                  outcome
	workerAge                                float64 // seconds since the worker's start when it was sent, as listed; or unknownAge
}

// request is one request as its dispatcher saw it; times are seconds of the day, 0: never.
type request struct {
	file          string
	class         int
	arrived, done float64
	verdict       int
	attempts      []*attempt
}

// lastAttempt returns the newest attempt, nil where there is none.
func (q *request) lastAttempt() *attempt {
	if len(q.attempts) == 0 {
		return nil
	}
	return q.attempts[len(q.attempts)-1]
}

// row is what happened in one stretch of the day.
type row struct {
	arrived, sent, freshConnections, asks, askFails, lists int
	outcomes                                               map[outcome]int
	waits                                                  []float64
}

// worker is what happened at one worker; times are summed seconds.
type worker struct {
	id                        string
	kind, zone                string
	sends, completed, started int
	waited, ran               float64
	outcomes                  map[outcome]int
}

func (w *worker) meanWait() float64 { return w.waited / float64(max(w.started, 1)) }

// counts are the sums over all logs.
type counts struct {
	rowSeconds float64
	rows       map[int]*row
	workers    map[string]*worker
}

func newCounts(rowSeconds float64) *counts {
	return &counts{rowSeconds: rowSeconds, rows: map[int]*row{}, workers: map[string]*worker{}}
}

// row returns the row of a second of the day.
func (c *counts) row(second float64) *row {
	i := int(second / c.rowSeconds)
	if c.rows[i] == nil {
		c.rows[i] = &row{outcomes: map[outcome]int{}}
	}
	return c.rows[i]
}

func (c *counts) worker(id string) *worker {
	if c.workers[id] == nil {
		c.workers[id] = &worker{id: id, outcomes: map[outcome]int{}}
	}
	return c.workers[id]
}

func (c *counts) printRows(out io.Writer) {
	fmt.Fprintln(out, "   from  arrive   send  fresh   asks fails  told  wait50  wait90  outcomes")
	for _, i := range slices.Sorted(maps.Keys(c.rows)) {
		r := c.rows[i]
		slices.Sort(r.waits)
		fmt.Fprintf(out, "%7.1f %7d %6d %6d %6d %5d %5d %7.3f %7.3f ", float64(i)*c.rowSeconds, r.arrived, r.sent, r.freshConnections,
			r.asks, r.askFails, r.lists, quantile(r.waits, 0.5), quantile(r.waits, 0.9))
		printOutcomes(out, r.outcomes, func(o outcome) bool { return o != outcomeOK })
	}
}

func (c *counts) printWorkers(out io.Writer, most int) {
	list := slices.SortedFunc(maps.Values(c.workers), func(a, b *worker) int {
		return cmp.Or(cmp.Compare(b.meanWait(), a.meanWait()), cmp.Compare(a.id, b.id))
	})
	fmt.Fprintln(out, "\nworker        kind zone  sends  started  wait(s)   run(s)  outcomes")
	for _, w := range list[:min(most, len(list))] {
		fmt.Fprintf(out, "%-12s %5s %4s %6d %8d %8.3f %8.3f  ", w.id, w.kind, w.zone, w.sends, w.started, w.meanWait(), w.ran/float64(max(w.completed, 1)))
		printOutcomes(out, w.outcomes, func(outcome) bool { return true })
	}
}

// printOutcomes ends a line with the number of each outcome that is shown.
func printOutcomes(out io.Writer, outcomes map[outcome]int, shown func(outcome) bool) {
	for _, o := range slices.Sorted(maps.Keys(outcomes)) {
		if shown(o) {
			fmt.Fprintf(out, " %v=%d", o, outcomes[o])
		}
	}
	fmt.Fprintln(out)
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
