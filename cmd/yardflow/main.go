// Yardflow is the dispatcher. This file owns the wiring, the signals and the
// machine's limits; it must never touch a session or decide anything.
package main

import (
	"context"
	"errors"
	"fmt"
	"log"
	"math"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"yardflow/internal/platform/config"
	"yardflow/internal/platform/haproxy"
	"yardflow/internal/platform/invariant"
)

func main() {
	log.SetFlags(log.Ltime | log.Lmicroseconds)
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "yardflow:", err)
		os.Exit(1)
	}
}

// operatorFile is where an installation says what it switches on.
const operatorFile = "deploy/yardflow.toml"

const usage = `usage: yardflow              run as a dispatcher; NODE_CONFIG names its configuration
       yardflow check        read and check the configuration, start nothing
       yardflow import FILE  turn an HAProxy configuration into ours, on standard output`

func run() error {
	if len(os.Args) == 3 && os.Args[1] == "import" {
		return importFile(os.Args[2])
	}
	if len(os.Args) > 2 || len(os.Args) == 2 && os.Args[1] != "check" {
		return errors.New(usage)
	}
	// First of all: by default SIGHUP ends a program.
	hup := make(chan os.Signal, 1) // one that waits stands for all that came meanwhile
	signal.Notify(hup, syscall.SIGHUP)
	cfg, err := config.Load(os.Getenv, operatorFile)
	if err != nil {
		return err
	}
	for _, notice := range cfg.Notices {
		log.Print(notice)
	}
	if len(os.Args) == 2 {
		fmt.Println("configuration is sound")
		return nil
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	runtime.GOMAXPROCS(max(int(math.Ceil(cfg.Limits.Cores)), 1))
	debug.SetGCPercent(200)
	n, err := begin(cfg, os.Getenv("TMPDIR"), func(bytes int64) {
		debug.SetMemoryLimit(bytes)
		debug.FreeOSMemory()
	})
	if err != nil {
		return err
	}
	if n.consoleAddr != nil {
		log.Printf("%s takes operators' calls on %s", cfg.Name, n.consoleAddr)
	}
	if n.sseAddr != nil {
		log.Printf("%s serves event streams on %s", cfg.Name, n.sseAddr)
	}
	log.Printf("%s serves on %s", cfg.Name, n.addr)
	go func() { // to the end, since a reload may cross a stop
		for range hup {
			n.reload(func() (*config.Config, error) { return config.Reload(os.Getenv, operatorFile) })
		}
	}()
	select {
	case err := <-n.failed:
		return err
	case <-ctx.Done():
	}
	log.Print("stopping")
	err = n.stop()
	log.Printf("stopped; %+v; broken invariants: %v", n.broker.Stats(), invariant.Violations())
	return err
}

// reload takes up a configuration that was replaced while the node runs. One
// that is not sound changes nothing.
func (n *node) reload(load func() (*config.Config, error)) {
	cfg, err := load()
	n.policyMu.Lock()
	defer n.policyMu.Unlock()
	now := n.base
	var next *config.Config
	if err == nil {
		next, err = now.Reloaded(cfg)
	}
	if err == nil {
		err = n.put(next, n.policy)
	}
	if err != nil {
		log.Printf("reload: the old settings stay: %v", err)
		return
	}
	for _, key := range now.RestartKeys(cfg) {
		log.Printf("reload: %s: takes effect at the next start", key)
	}
	n.mu.Lock()
	n.longest = max(n.longest, longest(next))
	n.mu.Unlock()
	if !slices.Equal(now.Zones, next.Zones) || !slices.Equal(now.Kinds, next.Kinds) ||
		!reflect.DeepEqual(now.Membership, next.Membership) || !reflect.DeepEqual(now.SRV, next.SRV) {
		if err := n.sources.Reconfigure(); err != nil { // checked before; nothing has changed then
			log.Printf("reload: the sources stay as they were: %v", err)
		}
	}
	n.lines.Reconfigure()
	if next.Discovery != "" { // a fixed list of workers has none
		n.table.SwitchSource(next.Discovery)
	}
	log.Printf("reload: discovery at %s; classes %v, %d attempts", next.Discovery, next.Classes, next.Dispatch.MaxAttempts)
}

// longest is the longest deadline of a configuration's classes.
func longest(cfg *config.Config) (d time.Duration) {
	for _, c := range cfg.Dispatch.Classes {
		d = max(d, c.Deadline)
	}
	return d
}

// importFile writes the imported configuration to standard output, and what did
// not carry over to standard error.
func importFile(path string) error {
	in, err := os.Open(path)
	if err != nil {
		return err
	}
	defer in.Close()
	text, notes, err := haproxy.Import(in)
	for _, n := range notes {
		fmt.Fprintf(os.Stderr, "%s: not carried over: %s\n", path, n)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	_, err = fmt.Printf("%s\n", text)
	return err
}
