// Yardflow is the dispatcher. This file owns the wiring, the signals and the
// machine's limits; it must never touch a session or decide anything.
package main

import (
	"context"
	"errors"
	"fmt"
	"log"
	"math"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"linnetlift/internal/broker"
	"linnetlift/internal/config"
	"linnetlift/internal/invariant"
	"linnetlift/internal/platform"
)

// lameDuck is how long new connections are still taken after SIGTERM: the front
// needs up to 0.4 s to notice.
const lameDuck = 500 * time.Millisecond

func main() {
	log.SetFlags(log.Ltime | log.Lmicroseconds)
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "yardflow:", err)
		os.Exit(1)
	}
}

func run() error {
	cfg, err := config.Load(os.Getenv, "deploy/sse.toml")
	if err != nil {
		return err
	}
	if len(os.Args) == 2 && os.Args[1] == "check" {
		fmt.Println("configuration is sound")
		return nil
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return serve(ctx, cfg)
}

func serve(ctx context.Context, cfg *config.Config) error {
	runtime.GOMAXPROCS(max(int(math.Ceil(cfg.Limits.Cores)), 1))
	debug.SetMemoryLimit(int64(cfg.Limits.MemoryMB) << 20 * 7 / 10)
	debug.SetGCPercent(200)

	var contracts []broker.Contract
	for _, k := range cfg.SSE.Contracts {
		contracts = append(contracts, broker.Contract{Team: k.Team, Rate: k.Rate, Burst: k.Burst, MaxOpen: k.MaxOpen})
	}
	b, err := broker.New(cfg.Module, cfg.Seed, contracts, func(s string) { log.Print(s) })
	if err != nil {
		return err
	}
	defer b.Close()
	table, err := platform.NewTable(cfg, b, func(s string) { log.Print(s) })
	if err != nil {
		return err
	}
	// Sockets: a tenth and the listeners in reserve, a third of the rest to loan
	// workers, two thirds to clients.
	rest := cfg.Limits.Sockets - 24 - cfg.Limits.Sockets/10
	lines := platform.NewLines(cfg, rest/3)
	reader := platform.NewReader(cfg)
	front := platform.NewFrontend(b, lines, reader, rest-rest/3)

	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("NODE_LISTEN: %w", err)
	}
	follow, unfollow := context.WithCancel(context.Background())
	defer unfollow()
	go table.Run(follow)
	server := front.Server()
	failed := make(chan error, 2)
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}()
	log.Printf("%s serves on %s", cfg.Name, l.Addr())
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}

	log.Print("stopping")
	front.Drain()
	time.Sleep(lameDuck)
	longest := time.Duration(0)
	for _, c := range cfg.Module.Classes {
		longest = max(longest, c.Deadline)
	}
	end, cancel := context.WithTimeout(context.Background(), longest+time.Second)
	defer cancel()
	server.SetKeepAlivesEnabled(false)
	err = server.Shutdown(end)
	lines.CloseIdle()
	log.Printf("stopped; %+v; broken invariants: %v", b.Stats(), invariant.Broken())
	return err
}
