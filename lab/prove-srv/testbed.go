package main

// This file starts the program with its stand-ins, and puts it under load.

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"yardflow/internal/testing/standin/deployment"
	"yardflow/internal/testing/standin/listservice"
)

// service is the name under which DNS has the workers.
const service = "_loans._tcp.example.test"

// startDeployment starts the program with so many workers, all in DNS with a lifetime; inRoster of them in the roster too.
// It returns the zone's text, too.
func startDeployment(names, workers, inRoster, ttl int, operator string) (s *deployment.Shop, zone string, err error) {
	s, err = deployment.Open(names)
	if err != nil {
		return nil, "", err
	}
	defer func() {
		if err != nil {
			_ = s.Close()
		}
	}()
	var list []listservice.Entry
	for i := range workers {
		id := fmt.Sprint("w", i)
		if _, err := s.Worker(id, 4, func(string) time.Duration { return 20 * time.Millisecond }); err != nil {
			return s, "", err
		}
		zone += s.Record(id, service, ttl, 0)
		if i < inRoster {
			list = append(list, s.Entry(id))
		}
	}
	if err := s.Zone(zone); err != nil {
		return s, "", err
	}
	s.Roster.Set(list...)
	if err := startProgram(s, operator); err != nil {
		return s, "", err
	}
	return s, zone, awaitServing(s, workers, 10*time.Second)
}

// startProgram starts the program with the example's configuration and an operator's file.
func startProgram(s *deployment.Shop, operator string) error {
	config, err := os.ReadFile("deploy/example/config.json")
	if err != nil {
		return err
	}
	return s.Run(*binary, string(config), operator)
}

// awaitServing waits until the program knows so many workers from DNS that serve.
func awaitServing(s *deployment.Shop, workers int, limit time.Duration) error {
	return s.Until(limit, func() bool {
		text, err := s.Call("sources")
		return err == nil && strings.Contains(text, fmt.Sprintf("loans: %d serving", workers))
	})
}

// operatorFile returns an operator's file with the source of the workers, and more of its keys.
func operatorFile(more string) string {
	return "[[source.srv]]\nname = \"loans\"\nservice = \"" + service + "\"\nservers = []\nzone = \"north\"\nkind = \"standard\"\nidentity = \"target-label\"\naddresses = \"ipv4\"\ntimeout = \"200ms\"\n" + more
}

// underLoad submits so many jobs a second while run runs, or until ctx ends, and returns their results.
func underLoad(ctx context.Context, s *deployment.Shop, rate float64, run func() error) ([]deployment.Result, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	results := make(chan []deployment.Result, 1)
	go func() {
		results <- s.Load(ctx, rate, func(n int) deployment.Job {
			if n%4 == 3 {
				return deployment.Job{Class: "package-file", Timeout: 4 * time.Second}
			}
			return deployment.Job{Class: "issue-loan", Timeout: 3 * time.Second}
		})
	}()
	err := run()
	stop()
	return <-results, err
}

// unserved counts jobs that were not answered with a result.
func unserved(all []deployment.Result) (n int) {
	for _, r := range all {
		if r.Status != 200 {
			n++
		}
	}
	return n
}

// between returns what stands between two words of a text.
func between(text, before, after string) string {
	_, rest, _ := strings.Cut(text, before)
	out, _, _ := strings.Cut(rest, after)
	return out
}
