// Package prove prints figures with the aim beside each, and says at the end whether all hold. What
// a scenario of real processes has noted becomes rows, too.
package prove

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"text/tabwriter"

	"yardflow/lab/rig/harness"
)

// Table is one.
type Table struct {
	mu     sync.Mutex
	w      *tabwriter.Writer
	missed bool
}

// New begins a table on standard output.
func New() *Table {
	t := &Table{w: tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)}
	fmt.Fprintln(t.w, "figure\tmeasured\taim\t")
	return t
}

// Row adds a figure; one without an aim is told alone.
func (t *Table) Row(what, figure, aim string, holds bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	verdict := "holds"
	if !holds {
		verdict, t.missed = "MISSED", true
	}
	if aim == "" {
		verdict = ""
	}
	fmt.Fprintf(t.w, "%s\t%s\t%s\t%s\n", what, figure, aim, verdict)
}

// End prints it, and ends the program with exit code 1 where an aim is missed.
func (t *Table) End() {
	_ = t.w.Flush()
	if t.missed {
		os.Exit(1)
	}
}

// Scenarios plays some by name, beside each other, with the programs in bin.
func (t *Table) Scenarios(seed uint64, names ...string) {
	settings, err := os.ReadFile("cmd/yardflow/testdata/settings.json")
	bin, err2 := filepath.Abs("bin")
	if err != nil || err2 != nil {
		t.Row("real processes", fmt.Sprint(err, err2), "no fault of the stage", false)
		return
	}
	var wg sync.WaitGroup
	for _, s := range harness.Scenarios {
		for _, name := range names {
			if s.Name == name {
				wg.Go(func() { t.play(s, bin, settings, seed) })
			}
		}
	}
	wg.Wait()
}

func (t *Table) play(s harness.Scenario, bin string, settings []byte, seed uint64) {
	dir, err := os.MkdirTemp("", "prove")
	if err != nil {
		t.Row(s.Name, err.Error(), "no fault of the stage", false)
		return
	}
	defer os.RemoveAll(dir)
	c := s.Config(bin, dir, settings, seed)
	c.Full = true
	c.Over = func(r *harness.Rig) {
		for _, f := range r.Figures() {
			sign := "at most"
			if f.Least {
				sign = "at least"
			}
			t.Row(f.What, fmt.Sprintf("%.2f", f.Is), fmt.Sprintf("%s %.2f", sign, f.Aim), !f.Missed)
		}
	}
	wrong := s.Record(c, func(string) {})
	t.Row("real processes: "+s.Name, fmt.Sprintf("%d wrong %v", len(wrong), wrong), "0 wrong", len(wrong) == 0)
}
