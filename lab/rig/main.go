// Rig plays one scenario of several real processes by hand and prints what became of each
// dispatcher. It must judge nothing itself: what a scenario asserts is the scenario's.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"yardflow/lab/rig/harness"
)

var (
	name     = flag.String("scenario", "", "which one; none: they are listed")
	seed     = flag.Uint64("seed", 1, "of what a scenario draws")
	bin      = flag.String("bin", "", "folder of the programs; none: they are built")
	settings = flag.String("settings", "cmd/yardflow/testdata/settings.json", "of the dispatchers")
	history  = flag.Bool("history", false, "print what each process said, too")
)

func main() {
	flag.Parse()
	for _, s := range harness.Scenarios {
		if *name == "" {
			fmt.Printf("%-18s %s\n", s.Name, s.About)
		}
		if s.Name == *name {
			ok, err := play(s)
			if err != nil {
				fmt.Fprintln(os.Stderr, "rig:", err)
			}
			if !ok {
				os.Exit(1)
			}
			return
		}
	}
	if *name != "" {
		fmt.Fprintf(os.Stderr, "rig: no scenario %q\n", *name)
		os.Exit(2)
	}
}

func play(s harness.Scenario) (ok bool, err error) {
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(dir)
	if *bin == "" {
		*bin = filepath.Join(dir, "bin")
		if err := harness.Build(".", *bin); err != nil {
			return false, err
		}
	}
	if *bin, err = filepath.Abs(*bin); err != nil {
		return false, err
	}
	text, err := os.ReadFile(*settings)
	if err != nil {
		return false, err
	}
	began := time.Now()
	print := func(text string) { fmt.Printf("%8.3fs %s\n", time.Since(began).Seconds(), text) }
	c := s.Config(*bin, dir, text, *seed)
	c.Full = true
	c.Over = func(r *harness.Rig) { print("over"); table(r) }
	return len(s.Record(c, print)) == 0, nil
}

// table prints what became of each dispatcher.
func table(r *harness.Rig) {
	s, leader, err := r.State()
	if err != nil {
		fmt.Println("no keeper answers:", err)
	} else {
		fmt.Printf("keeper %d leads; revision %d, version %d in force\n", leader, s.Revision, s.CurrentPolicy().Version)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "dispatcher\tversion\tlease left\tserved\trefused\tover a limit\tno answer")
	seen := map[string]bool{}
	for _, d := range r.Dispatchers {
		if seen[d.Name] {
			continue
		}
		seen[d.Name] = true
		version, left := "-", "none"
		if s != nil {
			for _, l := range s.ActiveHolders() {
				if l.Name == d.Name {
					version, left = fmt.Sprint(l.PolicyVersion), (l.LeaseExpiry - s.Now).String()
				}
			}
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\n", d.Name, version, left, r.Answers(d.Name, 200), r.Answers(d.Name, 503), r.Answers(d.Name, 429), r.Answers(d.Name, 0))
	}
	_ = w.Flush()
	if d, what := r.Overlap(); d > 0 {
		fmt.Println(what)
	}
	if out, code := r.Staff("limits", "show"); code == 0 && s != nil && len(s.CurrentPolicy().Limits) > 0 {
		fmt.Print(out)
	}
	for _, f := range r.Figures() {
		fmt.Printf("%s: %.3f, aim %.3f, missed %t\n", f.What, f.Is, f.Aim, f.Missed)
	}
	if *history {
		r.History(os.Stdout)
	}
}
