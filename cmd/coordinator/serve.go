package main

import (
	"context"
	"log"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"yardflow/internal/fleet/consensus"
	"yardflow/internal/fleet/transport"
)

// defaultConfigFile is relative to the working directory.
const defaultConfigFile = "deploy/keeper.toml"

// Limits of the HTTP server.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = time.Minute
	maxHeaderBytes = 16 << 10
)

func newServeCommand() *cobra.Command {
	var file string
	var bootstrap, join bool
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "be a keeper",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return serve(file, bootstrap, join) },
	}
	cmd.Flags().BoolVar(&join, "join", false, "this member never was one, and is taken in by members add")
	cmd.Flags().StringVar(&file, "config", defaultConfigFile, "the keeper's file")
	cmd.Flags().BoolVar(&bootstrap, "new", false, "this member never was one, nor were the others: make its folder")
	cmd.MarkFlagsMutuallyExclusive("new", "join")
	return cmd
}

// serve runs a member of the coordinators until SIGTERM, SIGINT or its failure.
func serve(file string, bootstrap, join bool) error {
	cfg, err := readConfig(file)
	if err != nil {
		return &exitError{exitUsage, err}
	}
	// A file that may not grow any more is an error of its write, as on a full disk; by
	// default the signal that comes with it ends a program.
	signal.Ignore(syscall.SIGXFSZ)
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return notDone("%s: listen: %v", file, err)
	}
	if n := len(cfg.Members); bootstrap && n != 1 && n != 3 && n != 5 {
		return usageError("%s: keeper: %d of them; expected 1, 3 or 5 to begin with", file, n)
	}
	member := cfg.memberConfig()
	member.Bootstrap, member.Join = bootstrap, join
	node, err := consensus.Open(member)
	if err != nil {
		return notDone("%v", err)
	}
	mux := http.NewServeMux()
	mux.Handle(consensus.PeerPath, node)
	mux.Handle("/", transport.NewHandler(cfg.Fleet, node, cfg.callTimeout()))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	go func() { _ = server.Serve(l) }() // it returns when the server is closed
	log.Printf("keeper %d of %s serves on %s", cfg.Member, cfg.Fleet, l.Addr())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	select {
	case <-ctx.Done():
	case <-node.Done():
		_ = server.Close() // the node's error says why
		return notDone("%v", node.Err())
	}
	_ = server.Close() // callers ask another coordinator
	if err := node.Close(); err != nil {
		return notDone("%v", err)
	}
	log.Print("stopped")
	return nil
}
