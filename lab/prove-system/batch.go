package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"yardflow/internal/testing/emulator"
)

const (
	// batchSize is how many schedules a process plays.
	batchSize = 5
	// batchTimeout bounds a process. A schedule takes a second or two of processor time. A process that stands still is
	// made to print its goroutines.
	batchTimeout = 4 * time.Minute
	// endTimeout is how long a process may take to end once it was interrupted.
	endTimeout = 2 * time.Second
	// collectionPercent is GOGC of the processes: they make much garbage and live short.
	collectionPercent = 400
	// keptOutput bounds what is kept of the output of a process that failed.
	keptOutput = 4000
)

// batch is the seeds that one process plays.
type batch struct {
	first uint64
	count int
}

// batches splits seeds into batches.
func batches(first uint64, seeds int) (all []batch) {
	for seeds > 0 {
		count := min(seeds, batchSize)
		all = append(all, batch{first, count})
		first, seeds = first+uint64(count), seeds-count
	}
	return all
}

// batchResult is one report of a schedule or, where report is nil, the end of a batch.
type batchResult struct {
	report  *emulator.ScheduleReport
	batch   batch
	missing int           // schedules of the batch that have no report
	output  string        // the last of what the process has printed, where some are missing
	elapsed time.Duration // of processor time, at the end of a batch
}

// playAll plays the batches, so many at once, and closes results at the end. Once ctx has ended it begins no more.
func playAll(ctx context.Context, program string, all []batch, atOnce int, results chan<- batchResult) {
	defer close(results)
	slots := make(chan struct{}, max(atOnce, 1))
	var playing sync.WaitGroup
	for _, b := range all {
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
		playing.Go(func() {
			defer func() { <-slots }()
			playBatch(ctx, program, b, results)
		})
	}
	playing.Wait()
}

// playBatch plays one batch in a process of its own.
func playBatch(ctx context.Context, program string, b batch, results chan<- batchResult) {
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, program, "-test.run", "^TestSchedules$")
	command.Env = append(os.Environ(), fmt.Sprint("PROVE_SCHEDULES=", b.count), fmt.Sprint("PROVE_FIRST=", b.first), "PROVE_REPORT=1",
		"GOMAXPROCS=1", fmt.Sprint("GOGC=", collectionPercent))
	command.Cancel = func() error {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return command.Process.Signal(syscall.SIGQUIT) // it prints its goroutines
		}
		return command.Process.Signal(syscall.SIGTERM)
	}
	command.WaitDelay = endTimeout
	output := &bytes.Buffer{}
	reader, writer, err := os.Pipe()
	if err != nil {
		results <- batchResult{batch: b, missing: b.count, output: err.Error()}
		return
	}
	command.Stdout, command.Stderr = writer, writer
	err = command.Start()
	_ = writer.Close() // the process has its own
	reported := 0
	if err == nil {
		lines := bufio.NewScanner(reader)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			if report, ok := emulator.ParseScheduleReport(lines.Text()); ok {
				reported++
				results <- batchResult{report: &report, batch: b}
				continue
			}
			output.WriteString(lines.Text() + "\n")
		}
		_ = command.Wait() // what has failed is in the reports, or missing there
	} else {
		output.WriteString(err.Error())
	}
	_ = reader.Close()
	end := batchResult{batch: b, missing: b.count - reported}
	if state := command.ProcessState; state != nil {
		end.elapsed = state.UserTime() + state.SystemTime()
	}
	if end.missing > 0 {
		end.output = shorten(output.Bytes(), b)
	}
	results <- end
}

// shorten returns the last of a process's output, and where all of it was kept.
func shorten(output []byte, b batch) string {
	if len(output) <= keptOutput {
		return string(output)
	}
	last := string(output[len(output)-keptOutput:])
	file, err := os.CreateTemp("", fmt.Sprintf("prove-system-seed-%d-*.log", b.first))
	if err != nil {
		return last
	}
	defer file.Close()
	if _, err := file.Write(output); err != nil {
		return last
	}
	return last + "\nall of its output is in " + file.Name()
}
