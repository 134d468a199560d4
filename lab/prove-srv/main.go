// Prove-srv measures what issue and docs claim of loan workers from DNS, on the
// real program with stand-ins on loopback. Each figure stands beside its aim; exit
// code 1 where one is missed.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"sync"

	"yardflow/lab/rig/prove"
)

var (
	binary = flag.String("yardflow", "bin/yardflow", "the program")
	only   = flag.String("only", "", "one part alone: drains, storm, silence, fleet, questions, failover, idle")
)

// part is one group of figures.
type part struct {
	name string
	run  func() ([]row, error)
}

// row is one figure and its aim.
type row struct {
	what, got, aim string
	ok             bool
}

func main() {
	flag.Parse()
	rows, err := measure([]part{{"drains", drains}, {"storm", changingZone}, {"silence", silentServers}, {"fleet", largeFleet},
		{"questions", queryRate}, {"failover", failover}, {"idle", idleMemory}})
	table := prove.New()
	for _, r := range rows {
		table.Row(r.what, r.got, r.aim, r.ok)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "prove-srv:", err)
	}
	table.End()
	if err != nil {
		os.Exit(1)
	}
}

// measure runs the parts beside each other: what they measure is far above what they cost one another. Only the idle
// program wants the machine to itself.
func measure(parts []part) ([]row, error) {
	rows, errs := make([][]row, len(parts)), make([]error, len(parts))
	var wg sync.WaitGroup
	for i, p := range parts {
		if *only != "" && p.name != *only {
			continue
		}
		if p.name == "idle" {
			wg.Wait()
		}
		wg.Go(func() {
			if rows[i], errs[i] = p.run(); errs[i] != nil {
				errs[i] = fmt.Errorf("%s: %w", p.name, errs[i])
			}
		})
	}
	wg.Wait()
	return slices.Concat(rows...), errors.Join(errs...)
}
