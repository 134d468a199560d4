// Command soak plays clusters of real processes on the loopback range under overlapping signals, restarts and changes. It
// ends by itself, with exit code 1 where a rule was broken; the logs of such a run are kept.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"yardflow/internal/testing/emulator"
	"yardflow/lab/soak/scenario"
)

func main() {
	program := flag.String("program", "bin/scheduler", "the system's program")
	former := flag.String("former", "", "the program's former build, which control processes take in turn")
	folder := flag.String("folder", "logs/soak", "for settings, disks and logs; a run's part is emptied first")
	first := flag.Uint64("first", 1, "first seed")
	seeds := flag.Int("seeds", 1, "how many seeds are played")
	atOnce := flag.Int("at-once", 1, "how many of them at once")
	span := flag.Duration("span", 20*time.Second, "of disruptions and traffic, for each seed")
	cores := flag.Int("cores", 3, "control machines")
	tolerate := flag.Int("tolerate", 1, "control machines that may be lost at once")
	dispatchers := flag.Int("dispatchers", 6, "dispatchers")
	workers := flag.Int("workers", 8, "workers")
	clients := flag.Int("clients", 24, "clients, each with a connection of its own")
	crowd := flag.Int("crowd", 60, "connections of clients that don't behave, at once")
	series := flag.Int("series", 3, "series of disruptions of dispatchers at once")
	slack := flag.Duration("loss-slack", time.Second, "a call sent that shortly before its connection ends may be cut off; 200ms on an idle machine")
	unseen := flag.Bool("drains-unseen", false, "a planted fault: the platform lists workers that drain as ready, and DRAIN has to be found")
	flag.Parse()
	absolute, err := filepath.Abs(*program)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(2)
	}
	absoluteFormer := *former
	if absoluteFormer != "" {
		if absoluteFormer, err = filepath.Abs(*former); err != nil {
			fmt.Fprintln(os.Stderr, "soak:", err)
			os.Exit(2)
		}
	}
	planted := emulator.NoFault
	if *unseen {
		planted = emulator.DrainsUnseen
	}
	var playing sync.WaitGroup
	var printing sync.Mutex
	failed := false
	turns := make(chan struct{}, *atOnce)
	for seed := *first; seed < *first+uint64(*seeds); seed++ {
		turns <- struct{}{}
		playing.Go(func() {
			defer func() { <-turns }()
			config := scenario.Config{Program: absolute, Former: absoluteFormer, Folder: filepath.Join(*folder, fmt.Sprint("seed-", seed)), Seed: seed,
				Span: *span, Clients: *clients, Crowd: *crowd, Series: *series, LossSlack: *slack, Shape: emulator.Shape{Cores: *cores, Tolerate: *tolerate,
					Dispatchers: *dispatchers, Workers: *workers, Guards: true, Planted: planted}}
			held := playSeed(config, &printing)
			printing.Lock()
			defer printing.Unlock()
			failed = failed || !held
		})
	}
	playing.Wait()
	if failed {
		fmt.Println("a rule was broken, or a cluster did not start; the processes' logs stand in", *folder)
		os.Exit(1)
	}
}

// playSeed plays one seed and reports whether every rule held.
func playSeed(config scenario.Config, printing *sync.Mutex) bool {
	if err := os.RemoveAll(config.Folder); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return false
	}
	report, err := scenario.Run(config)
	printing.Lock()
	defer printing.Unlock()
	if err != nil {
		fmt.Printf("seed %d: %v\n", config.Seed, err)
		return false
	}
	fmt.Println(report)
	held := len(report.Broken) == 0 && report.Accepted > 0
	if held {
		os.RemoveAll(config.Folder)
	}
	return held
}
