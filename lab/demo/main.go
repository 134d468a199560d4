// Demo shows yardflow at work on one machine: the real program as a child process,
// with a stand-in roster, DNS server and loan workers on loopback. In the middle one
// worker is told to drain, one is called out at the console, and the name servers
// fall silent for a while. It ends by itself, with exit code 1 on any broken rule.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"yardflow/internal/testing/standin/deployment"
	"yardflow/internal/testing/standin/dnsserver"
)

const (
	service = "_loans._tcp.example.test"
	length  = 20 * time.Second
	rate    = 25.0 // jobs a second
	grace   = 500 * time.Millisecond
)

func main() {
	binary := flag.String("yardflow", "bin/yardflow", "the program")
	flag.Parse()
	if err := run(*binary); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

// stops are the moments after which a worker may get nothing new.
type stops struct {
	drained, banned, back time.Time
}

func run(binary string) (err error) {
	s, err := deployment.Open(2)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, s.Close()) }()
	config, err := os.ReadFile("deploy/example/config.json")
	if err != nil {
		return err
	}
	operator, err := os.ReadFile("deploy/example/yardflow.toml")
	if err != nil {
		return err
	}
	work := func(class string) time.Duration {
		if class == "package-file" {
			return 700 * time.Millisecond
		}
		return 250 * time.Millisecond
	}
	zone := ""
	for i := 1; i <= 6; i++ {
		id := fmt.Sprint("w", i)
		if _, err := s.Worker(id, 3, work); err != nil {
			return err
		}
		zone += s.Record(id, service, 3, 0)
	}
	if err := s.Zone(zone); err != nil {
		return err
	}
	// w1 to w4 stand in the roster and in DNS, w5 and w6 in DNS alone.
	s.Roster.Set(s.Entry("w1"), s.Entry("w2"), s.Entry("w3"), s.Entry("w4"))
	if err := s.Run(binary, string(config), string(operator)); err != nil {
		return err
	}
	fmt.Printf("yardflow (pid %d) serves on %s; 6 loan workers, 4 of them in the roster, all in DNS\n", s.Pid, s.Listen)
	ctx, stop := context.WithTimeout(context.Background(), length)
	defer stop()
	done := make(chan []deployment.Result)
	go func() {
		done <- s.Load(ctx, rate, func(n int) deployment.Job {
			if n%4 == 3 {
				return deployment.Job{Class: "package-file", Timeout: 8 * time.Second}
			}
			return deployment.Job{Class: "issue-loan", Timeout: 3 * time.Second}
		})
	}()
	var at stops
	if err := play(ctx, s, &at); err != nil {
		return err
	}
	return report(s, <-done, at)
}

// play does what happens in the middle, and says each second what is going on.
func play(ctx context.Context, s *deployment.Shop, at *stops) error {
	events := []struct {
		second int
		say    string
		do     func() error
	}{
		{4, "the roster tells that w1 drains; DNS goes on naming it", func() (err error) {
			at.drained, err = s.Roster.Told(s.Roster.Mark("w1", "DRAINING"), 5*time.Second)
			return err
		}},
		{7, "an operator calls w2 out at the console", func() error {
			_, err := s.Call("exclude w2")
			at.banned = time.Now()
			return err
		}},
		{9, "the name servers fall silent", func() error {
			for _, d := range s.DNS {
				d.Behave(dnsserver.Always(dnsserver.Fault{Drop: true}))
			}
			return nil
		}},
		{14, "the name servers answer again", func() error {
			for _, d := range s.DNS {
				d.Behave(nil)
			}
			return nil
		}},
		{16, "the operator calls w2 back", func() error {
			at.back = time.Now()
			_, err := s.Call("include w2")
			return err
		}},
	}
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for second := 1; ; second++ {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
		came := 0
		for _, w := range s.Workers {
			came += len(w.Arrivals())
		}
		line := fmt.Sprintf("%2d s  %4d sent to workers", second, came)
		for _, e := range events {
			if e.second == second {
				line += "  " + e.say
				if err := e.do(); err != nil {
					return fmt.Errorf("%s: %w", e.say, err)
				}
			}
		}
		fmt.Println(line)
	}
}

// report prints what became of the jobs, and returns an error that names the broken rules.
func report(s *deployment.Shop, all []deployment.Result, at stops) error {
	out := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	broken := slices.Concat(reportClasses(out, all), reportWorkers(out, s, at))
	_ = out.Flush()
	if twice := s.Twice("issue-loan"); len(twice) > 0 {
		broken = append(broken, fmt.Sprintf("issue-loan was sent twice: %v", twice))
	}
	if served := slices.ContainsFunc(all, func(r deployment.Result) bool { return r.Status == 200 }); !served {
		broken = append(broken, "nothing was served")
	}
	text, err := s.Call("sources")
	if err != nil {
		return err
	}
	fmt.Printf("\nsources: %s\n", text)
	if text, err = s.Call("worker w1"); err != nil {
		return err
	}
	fmt.Printf("worker w1: %s\n", text)
	if len(broken) > 0 {
		return fmt.Errorf("broken rules:\n  %s", strings.Join(broken, "\n  "))
	}
	fmt.Println("\nno rule was broken")
	return nil
}

// reportClasses writes a line for each class, and returns the rules that its answers break.
func reportClasses(out io.Writer, all []deployment.Result) (broken []string) {
	fmt.Fprintln(out, "\nclass\tjobs\tserved\trefused\tlate or failed\tslowest")
	for _, class := range []string{"issue-loan", "package-file"} {
		jobs, served, refused, other, slowest := 0, 0, 0, 0, time.Duration(0)
		for _, r := range all {
			if r.Class != class {
				continue
			}
			jobs++
			slowest = max(slowest, r.Took)
			switch r.Status {
			case http.StatusOK:
				served++
			case http.StatusTooManyRequests, http.StatusServiceUnavailable:
				refused++
			case 0:
				broken = append(broken, fmt.Sprintf("%s got no answer: %v", r.ID, r.Err))
			default:
				other++
			}
		}
		fmt.Fprintf(out, "%s\t%d\t%d\t%d\t%d\t%v\n", class, jobs, served, refused, other, slowest.Round(time.Millisecond))
	}
	return broken
}

// reportWorkers writes a line for each worker, and returns the rules that were broken at one that was taken out.
func reportWorkers(out io.Writer, s *deployment.Shop, at stops) (broken []string) {
	fmt.Fprintln(out, "\nworker\tjobs\tdone\tlatest first byte after it was taken out\taim")
	for _, id := range sorted(s) {
		jobs, done := 0, 0
		for _, a := range s.Workers[id].Arrivals() {
			if jobs++; a.Done {
				done++
			}
		}
		latest, aim := "", ""
		switch id {
		case "w1":
			latest, aim = fmt.Sprint(s.Latest(id, at.drained).Round(time.Millisecond), " after the drain"), "500ms"
			if s.Latest(id, at.drained) > grace {
				broken = append(broken, "w1 got work after its drain")
			}
		case "w2":
			var late time.Duration
			for _, a := range s.Workers[id].Arrivals() {
				if a.First.Before(at.back) {
					late = max(late, a.First.Sub(at.banned))
				}
			}
			latest, aim = fmt.Sprint(late.Round(time.Millisecond), " after the call"), "500ms"
			if late > grace {
				broken = append(broken, "w2 got work while it was called out")
			}
		}
		fmt.Fprintf(out, "%s\t%d\t%d\t%s\t%s\n", id, jobs, done, latest, aim)
	}
	return broken
}

func sorted(s *deployment.Shop) (ids []string) {
	for id := range s.Workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
