// Yardflow is the dispatcher in service. The program makes the node's parts, connects them
// and ends them, and takes signals: SIGHUP reloads the configuration, SIGTERM and SIGINT
// stop the node gracefully. It decides nothing itself: placement is the decision module's,
// membership the sources', policies the coordinators'.
package main

import (
	"context"
	"errors"
	"fmt"
	"log"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"yardflow/internal/gateway/config"
	"yardflow/internal/gateway/haproxy"
	"yardflow/internal/platform/fault"
	"yardflow/internal/platform/invariant"
)

func main() {
	log.SetFlags(log.Ltime | log.Lmicroseconds)
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "yardflow:", fault.Text(err))
		os.Exit(1)
	}
}

// operatorFile says what an installation switches on, relative to the working directory.
const operatorFile = "deploy/yardflow.toml"

const usage = `usage: yardflow              run as a dispatcher; NODE_CONFIG names its configuration
       yardflow check        read and check the configuration, start nothing
       yardflow import FILE  turn an HAProxy configuration into ours, on standard output`

func run(args []string) error {
	switch {
	case len(args) == 2 && args[0] == "import":
		return importFile(args[1])
	case len(args) == 1 && args[0] == "check":
		if _, err := loadConfig(); err != nil {
			return err
		}
		fmt.Println("configuration is sound")
		return nil
	case len(args) == 0:
		return serve()
	}
	return errors.New(usage)
}

func loadConfig() (*config.Config, error) {
	cfg, err := config.Load(os.Getenv, operatorFile)
	if err != nil {
		return nil, err
	}
	for _, notice := range cfg.Notices {
		log.Print(notice)
	}
	return cfg, nil
}

// gcPercent trades memory for time: the collector runs when the heap has trebled. The
// memory limit, which the node sets, has it run more often where that is too much.
const gcPercent = 200

// serve runs a dispatcher until SIGTERM, SIGINT or the failure of a server.
func serve() error {
	// First of all: by default SIGHUP ends a program.
	hup := make(chan os.Signal, 1) // one that waits stands for all that came meanwhile
	signal.Notify(hup, syscall.SIGHUP)
	cfg, err := loadConfig()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	runtime.GOMAXPROCS(max(int(math.Ceil(cfg.Limits.Cores)), 1))
	debug.SetGCPercent(gcPercent)
	n, err := startNode(cfg, os.Getenv("TMPDIR"), func(bytes int64) {
		debug.SetMemoryLimit(bytes)
		debug.FreeOSMemory()
	})
	if err != nil {
		return err
	}
	n.logAddresses()
	go func() { // never ends: a reload may cross a stop
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

func (n *node) logAddresses() {
	if n.consoleAddr != nil {
		log.Printf("%s takes operators' calls on %s", n.cfg.Name, n.consoleAddr)
	}
	if n.sseAddr != nil {
		log.Printf("%s serves event streams on %s", n.cfg.Name, n.sseAddr)
	}
	log.Printf("%s serves on %s", n.cfg.Name, n.addr)
}

// importFile writes the imported configuration to standard output, and what did
// not carry over to standard error.
func importFile(path string) error {
	in, err := os.Open(path)
	if err != nil {
		return err
	}
	defer in.Close()
	text, diagnostics, err := haproxy.Import(in)
	for _, d := range diagnostics {
		fmt.Fprintf(os.Stderr, "%s: not carried over: %s\n", path, d)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	_, err = fmt.Printf("%s\n", text)
	return err
}
