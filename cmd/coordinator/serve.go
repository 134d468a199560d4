package main

// This file owns the keeper as a process: its start, its door, and the restore of its folder.

import (
	"context"
	"fmt"
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

func serveCommand() *cobra.Command {
	var file string
	var fresh, join bool
	cmd := &cobra.Command{Use: "serve", Short: "be a keeper", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error { return serve(file, fresh, join) }}
	cmd.Flags().BoolVar(&join, "join", false, "this member never was one, and is taken in by members add")
	cmd.Flags().StringVar(&file, "config", "deploy/keeper.toml", "the keeper's file")
	cmd.Flags().BoolVar(&fresh, "new", false, "this member never was one, nor were the others: make its folder")
	cmd.MarkFlagsMutuallyExclusive("new", "join")
	return cmd
}

func serve(file string, fresh, join bool) error {
	cfg, err := readConfig(file)
	if err != nil {
		return &coded{exitUsage, err}
	}
	// A file that may not grow any more is an error to be told, as a full disk is; by default the
	// signal that comes with it ends a program.
	signal.Ignore(syscall.SIGXFSZ)
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return notDone("%s: listen: %v", file, err)
	}
	if n := len(cfg.Members); fresh && n != 1 && n != 3 && n != 5 {
		return &coded{exitUsage, fmt.Errorf("%s: keeper: %d of them; expected 1, 3 or 5 to begin with", file, n)}
	}
	own := cfg.quorum()
	own.Bootstrap, own.Join = fresh, join
	q, err := consensus.Open(own)
	if err != nil {
		return notDone("%v", err)
	}
	mux := http.NewServeMux()
	mux.Handle(consensus.PeerPath, q)
	mux.Handle("/", transport.NewHandler(cfg.Fleet, q, 20*cfg.Tick.Duration+time.Second))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 16 << 10}
	go server.Serve(l)
	log.Printf("keeper %d of %s serves on %s", cfg.Member, cfg.Fleet, l.Addr())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	select {
	case <-ctx.Done():
	case <-q.Done():
		server.Close()
		return notDone("%v", q.Err())
	}
	server.Close()
	if err := q.Close(); err != nil {
		return notDone("%v", err)
	}
	log.Print("stopped")
	return nil
}

func restoreCommand() *cobra.Command {
	var file, from string
	var skip uint64
	var accept bool
	cmd := &cobra.Command{Use: "restore", Short: "make one keeper of a folder whose majority is lost for good", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		cfg, err := readConfig(file)
		if err != nil {
			return &coded{exitUsage, err}
		}
		got, err := consensus.Restore(cfg.quorum(), from, skip, accept)
		if err != nil {
			return notDone("%v", err)
		}
		out := cmd.OutOrStdout()
		fmt.Fprintf(out, "folder of keeper %d, to entry %d of term %d: %d entries known to be agreed on, %d beyond them taken as if they were\n", got.SourceMember, got.LastEntry, got.LastTerm, got.CommittedEntries, got.UncertainEntries)
		fmt.Fprintf(out, "version %d was in force by it, and is version %d from here on: versions after it that the lost keepers agreed on are lost, and so is whatever else they acknowledged after that entry\n", got.Version, got.RestoredVersion)
		if got.WithdrawnChange != "" {
			fmt.Fprintf(out, "change %s was under way by it, and is withdrawn; it may have come into force\n", got.WithdrawnChange)
		}
		fmt.Fprintf(out, "the %d members of before are none any more, and their folders are of no use: generation %d\n", got.FormerMembers, got.Generation)
		if !accept {
			return notDone("nothing was done: see that no majority of these members can come back, then add --accept-loss")
		}
		fmt.Fprintf(out, "keeper %d stands alone in %s: serve it without --new, then members add\n", cfg.Member, cfg.Folder)
		return nil
	}}
	cmd.Flags().StringVar(&file, "config", "deploy/keeper.toml", "file of the keeper to be made; its folder must hold none")
	cmd.Flags().StringVar(&from, "from", "", "folder of a keeper that is left, which does not run")
	cmd.Flags().Uint64Var(&skip, "skip", 1000, "by how much versions go on: more than can have been lost")
	cmd.Flags().BoolVar(&accept, "accept-loss", false, "do it")
	cmd.MarkFlagRequired("from")
	return cmd
}
