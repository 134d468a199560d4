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
	"bufio"
	"cmp"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"
)

// try is one attempt as its dispatcher saw it; times are seconds of the day, 0: never.
type try struct {
	worker                         string
	sent, conn, wrote, started, at float64
	reused                         bool
	code                           int
	age                            float64 // of the worker when it was sent, as the list told; below 0: not cold
}

type job struct {
	file    string
	class   int
	arrived float64
	done    float64
	verdict int
	tries   []*try
}

type worker struct {
	id                 string
	kind, zone         string
	sends, ok, started int
	wait, run          float64
	codes              map[int]int
}

var codes = []string{"ok", "failed", "full", "timeout", "connect", "broken", "cancelled", "neversent", "unknown", "dropped"}

func word(code int) string {
	if code >= 0 && code < len(codes) {
		return codes[code]
	}
	return strconv.Itoa(code)
}

// row is what happened in one stretch of the day.
type row struct {
	arrived, sent, fresh, asks, askFails, lists int
	codes                                       map[int]int
	waits                                       []float64
}

func main() {
	every := flag.Float64("every", 1, "length of a row, in seconds")
	top := flag.Int("workers", 12, "how many workers to list, most waited for first")
	aim := flag.Float64("aim", 0.2, "slack of an in-time answer, in seconds, beside the stretch")
	flag.Parse()
	files, _ := filepath.Glob(filepath.Join(flag.Arg(0), "*.log"))
	if len(files) == 0 {
		fmt.Fprintln(os.Stderr, "fleet: no logs in", flag.Arg(0))
		os.Exit(1)
	}
	rows, workers := map[int]*row{}, map[string]*worker{}
	at := func(t float64) *row {
		i := int(t / *every)
		if rows[i] == nil {
			rows[i] = &row{codes: map[int]int{}}
		}
		return rows[i]
	}
	var jobs []*job
	for _, f := range files {
		jobs = append(jobs, read(f, at, workers)...)
	}
	fmt.Printf("%d dispatchers, %d requests, %d workers\n\n", len(files), len(jobs), len(workers))
	fmt.Println("   from  arrive   send  fresh   asks fails  told  wait50  wait90  outcomes")
	for _, i := range slices.Sorted(maps.Keys(rows)) {
		r := rows[i]
		slices.Sort(r.waits)
		fmt.Printf("%7.1f %7d %6d %6d %6d %5d %5d %7.3f %7.3f ", float64(i)**every, r.arrived, r.sent, r.fresh, r.asks, r.askFails, r.lists,
			quantile(r.waits, 0.5), quantile(r.waits, 0.9))
		for _, c := range slices.Sorted(maps.Keys(r.codes)) {
			if c != 0 {
				fmt.Printf(" %s=%d", word(c), r.codes[c])
			}
		}
		fmt.Println()
	}
	causes(jobs, *aim, *every)
	list := slices.SortedFunc(maps.Values(workers), func(a, b *worker) int {
		return cmp.Compare(b.wait/float64(max(b.started, 1)), a.wait/float64(max(a.started, 1)))
	})
	fmt.Println("\nworker        kind zone  sends  started  wait(s)   run(s)  outcomes")
	for _, w := range list[:min(*top, len(list))] {
		fmt.Printf("%-12s %5s %4s %6d %8d %8.3f %8.3f  ", w.id, w.kind, w.zone, w.sends, w.started, w.wait/float64(max(w.started, 1)), w.run/float64(max(w.ok, 1)))
		for _, c := range slices.Sorted(maps.Keys(w.codes)) {
			fmt.Printf(" %s=%d", word(c), w.codes[c])
		}
		fmt.Println()
	}
}

// causes splits the requests that did not end well by what took their time.
func causes(jobs []*job, aim, every float64) {
	type cell struct{ n int }
	total := map[string]*cell{}
	by := map[int]map[string]int{}
	add := func(j *job, cause string) {
		if total[cause] == nil {
			total[cause] = &cell{}
		}
		total[cause].n++
		i := int(j.arrived / (5 * every))
		if by[i] == nil {
			by[i] = map[string]int{}
		}
		by[i][cause]++
	}
	for _, j := range jobs {
		add(j, why(j, aim))
	}
	fmt.Println("\ncause (all requests), and by the time of arrival")
	names := slices.SortedFunc(maps.Keys(total), func(a, b string) int { return total[b].n - total[a].n })
	fmt.Printf("%-34s %6s", "", "all")
	spans := slices.Sorted(maps.Keys(by))
	for _, i := range spans {
		fmt.Printf(" %6.0f", float64(i)*5*every)
	}
	fmt.Println()
	for _, n := range names {
		fmt.Printf("%-34s %6d", n, total[n].n)
		for _, i := range spans {
			fmt.Printf(" %6d", by[i][n])
		}
		fmt.Println()
	}
}

// why words what became of a request: in time by the run it had, or what made it late.
func why(j *job, aim float64) string {
	if len(j.tries) == 0 {
		if j.done == 0 {
			return "never answered (killed?)"
		}
		return "given up, never sent"
	}
	last := j.tries[len(j.tries)-1]
	if last.code != 0 || last.at == 0 {
		switch {
		case last.at == 0:
			return "out when the log ends"
		case last.code == 3 && last.started == 0 && last.conn == 0:
			return "time-out connecting"
		case last.code == 3 && last.started == 0:
			return "time-out, not started" + cold(last)
		case last.code == 3:
			return "time-out, started" + cold(last)
		}
		return "ended " + word(last.code) + fmt.Sprintf(", %d tries", len(j.tries))
	}
	run, before := last.at-last.started, last.sent-j.arrived
	if last.started == 0 {
		run = last.at - last.wrote
	}
	slack := aim + run // twice its own running time, at about speed 1
	if j.class > 0 {
		slack = 2.5*aim + 1.5*run
	}
	switch {
	case last.at-j.arrived <= slack+run:
		return "in time, about"
	case before > slack/2 && len(j.tries) > 1:
		return "late: tries before"
	case before > slack/2:
		return "late: held"
	case last.wrote-last.sent > slack/2:
		return "late: connecting"
	}
	return "late: waited at the worker" + cold(last)
}

func cold(t *try) string {
	if t.age >= 0 && t.age < 8.3 {
		return " (cold)"
	}
	return ""
}

// read takes in one dispatcher's log, which may hold several lives of it.
func read(path string, at func(float64) *row, workers map[string]*worker) (all []*job) {
	f, err := os.Open(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", err)
		os.Exit(1)
	}
	defer f.Close()
	open := map[string]*job{}
	started := map[string]float64{} // of workers, Unix ms
	var first time.Time             // the dispatcher's clock at the day's second 0
	base := 0.0                     // Unix ms at the day's second 0, roughly: unknown until told
	in := bufio.NewScanner(f)
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		p := strings.Fields(in.Text())
		if len(p) < 3 {
			continue
		}
		t, err := strconv.ParseFloat(strings.Trim(p[0], "[]"), 64)
		if err != nil {
			continue
		}
		if clock, err := time.Parse("15:04:05", p[1]); err == nil {
			// The second is rounded; the dispatcher's own clock is not.
			if first.IsZero() {
				first = clock.Add(-time.Duration(t * 1e9))
			}
			t = clock.Sub(first).Seconds()
		}
		p = p[2:]
		key := func(name string) string {
			for _, s := range p {
				if v, ok := strings.CutPrefix(s, name+"="); ok {
					return v
				}
			}
			return ""
		}
		num := func(name string) float64 { v, _ := strconv.ParseFloat(key(name), 64); return v }
		w := func() *worker {
			id := key("to")
			if workers[id] == nil {
				workers[id] = &worker{id: id, codes: map[int]int{}}
			}
			return workers[id]
		}
		var j *job
		var last *try
		if len(p) > 1 {
			if j = open[p[1]]; j != nil && len(j.tries) > 0 {
				last = j.tries[len(j.tries)-1]
			}
		}
		switch {
		case p[0] == "arrive":
			j := &job{file: path, class: int(num("class")), arrived: t}
			open[p[1]], all = j, append(all, j)
			at(t).arrived++
		case p[0] == "send" && j != nil:
			s := &try{worker: key("to"), sent: t, age: -1}
			if b := started[s.worker]; b > 0 && base > 0 {
				s.age = t - (b-base)/1000
			}
			j.tries = append(j.tries, s)
			at(t).sent++
			w().sends++
		case p[0] == "try" && last != nil && slices.Contains(p, "conn"):
			last.conn, last.reused = t, key("reused") == "true"
			if !last.reused {
				at(t).fresh++
			}
		case p[0] == "try" && last != nil && slices.Contains(p, "wrote"):
			last.wrote = t
		case p[0] == "note" && last != nil && key("kind") == "1":
			if last.started == 0 {
				last.started = t
				at(last.sent).waits = append(at(last.sent).waits, t-last.sent)
				w().started++
				w().wait += t - last.sent
			}
		case p[0] == "end" && last != nil:
			last.at, last.code = t, int(num("code"))
			at(t).codes[last.code]++
			w().codes[last.code]++
			if last.code == 0 {
				j.done = t
				if last.started > 0 {
					w().ok++
					w().run += t - last.started
				}
			}
		case p[0] == "answer" && j != nil:
			j.done, j.verdict = t, int(num("verdict"))
		case p[0] == "ask":
			at(t).asks++
		case p[0] == "asked":
			if key("err") != "<nil>" {
				at(t).askFails++
			} else {
				at(t).lists++
			}
		case p[0] == "list" && len(p) > 2:
			if b := num("started"); b > 0 {
				// The newest start told is a little in the past: good enough to tell cold from warm.
				started[p[2]] = b
				base = max(base, b-1000*t)
			}
			if k := key("kind"); k != "" {
				if workers[p[2]] == nil {
					workers[p[2]] = &worker{id: p[2], codes: map[int]int{}}
				}
				workers[p[2]].kind, workers[p[2]].zone = k, key("zone")
			}
		}
	}
	return all
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
