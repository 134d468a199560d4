// Command prove-system plays seeded schedules of faults for the whole scheduler in virtual time, several processes at once,
// and prints each broken rule with its seed and its disruptions the moment it is found. Interrupted, it reports what it has.
//
// The schedules are TestSchedules of package emulator. Each process plays a few of them, so that one that panics takes no
// others along. The exit code is 1 where a rule was broken, a schedule did not end, or it was interrupted.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

// progressInterval is how often progress is printed.
const progressInterval = 10 * time.Second

func main() {
	seeds := flag.Int("seeds", 2000, "schedules to play")
	first := flag.Uint64("first", 1, "seed of the first schedule; the others follow it")
	atOnce := flag.Int("at-once", runtime.NumCPU(), "processes at once")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	sound, err := run(ctx, *seeds, *first, *atOnce)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if err != nil || !sound {
		os.Exit(1)
	}
}

// run builds the schedules, plays them and prints what they show. sound: all were played, and no rule was broken.
func run(ctx context.Context, seeds int, first uint64, atOnce int) (sound bool, err error) {
	dir, err := os.MkdirTemp("", "prove-system")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(dir)
	program := filepath.Join(dir, "schedules")
	build := exec.CommandContext(ctx, "go", "test", "-c", "-o", program, "./internal/testing/emulator")
	if out, err := build.CombinedOutput(); err != nil {
		return false, fmt.Errorf("%w: %s", err, out)
	}
	results := make(chan batchResult)
	go playAll(ctx, program, batches(first, seeds), atOnce, results)
	began := time.Now()
	summary := newSummary(seeds)
	progress := time.NewTicker(progressInterval)
	defer progress.Stop()
	for {
		select {
		case result, more := <-results:
			if !more {
				return summary.finish(os.Stdout, time.Since(began), ctx.Err() != nil), nil
			}
			summary.add(os.Stdout, &result)
		case <-progress.C:
			summary.printProgress(os.Stdout, time.Since(began))
		}
	}
}
