package main

// This file measures what the program takes of memory and processor time.

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"yardflow/internal/testing/standin/deployment"
	"yardflow/lab/rig/prove"
)

// idleBefore is what the program took idle before there were sources, in MB: the
// median of 7 runs of that build, measured in the same way.
const idleBefore = 9.5

// largeFleet: 2,000 workers at a lifetime of 5 s.
func largeFleet() ([]row, error) {
	const workers, span = 2000, 12 * time.Second
	s, err := deployment.Open(1)
	if err != nil {
		return nil, err
	}
	defer func() { _ = s.Close() }()
	var zone strings.Builder
	for i := range workers {
		fmt.Fprintf(&zone, "_l._tcp.z. 5 IN SRV 0 0 %d w%d.z.\nw%d.z. 5 IN A 127.1.%d.%d\n", 10000+i, i, i, i/250, 1+i%250)
	}
	if err := s.Zone(zone.String()); err != nil {
		return nil, err
	}
	if err := startProgram(s, strings.Replace(strings.Replace(operatorFile(""), "200ms", "2s", 1), service, "_l._tcp.z", 1)); err != nil {
		return nil, err
	}
	if err := awaitServing(s, workers, 20*time.Second); err != nil {
		return nil, err
	}
	before, _ := prove.ProcessorTime(s.Pid)
	time.Sleep(span)
	after, err := prove.ProcessorTime(s.Pid)
	if err != nil {
		return nil, err
	}
	share := float64(after-before) / float64(span) * 100
	mb, err := prove.ResidentMemory(s.Pid)
	return []row{
		{"2,000 workers at a lifetime of 5 s: memory", fmt.Sprintf("%.1f MB", mb), "64 MB at most", mb <= 64},
		{"and CPU", fmt.Sprintf("%.1f%% of a core", share), "25% at most", share <= 25},
	}, err
}

// idleMemory: resident memory with everything off.
func idleMemory() ([]row, error) {
	var all []float64
	for range 9 {
		mb, err := idleMemoryOnce()
		if err != nil {
			return nil, err
		}
		all = append(all, mb)
	}
	slices.Sort(all)
	mb := all[len(all)/2]
	return []row{{"idle memory with everything off, median of 9", fmt.Sprintf("%.2f MB", mb), fmt.Sprintf("%.2f MB at most", idleBefore+1), mb <= idleBefore+1}}, nil
}

func idleMemoryOnce() (float64, error) {
	s, err := deployment.Open(0)
	if err != nil {
		return 0, err
	}
	defer func() { _ = s.Close() }()
	s.Roster.Set()
	if err := startProgram(s, ""); err != nil {
		return 0, err
	}
	time.Sleep(500 * time.Millisecond)
	return prove.ResidentMemory(s.Pid)
}
