package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"yardflow/internal/fleet/consensus"
)

// defaultVersionSkip is by how much policy versions go on after a restore: dispatchers
// may know a lost version, whose number must not stand for another policy.
const defaultVersionSkip = 1000

func newRestoreCommand() *cobra.Command {
	var file, from string
	var skip uint64
	var acceptLoss bool
	cmd := &cobra.Command{
		Use:   "restore",
		Short: "make one keeper of a folder whose majority is lost for good",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return restore(cmd.OutOrStdout(), file, from, skip, acceptLoss)
		},
	}
	cmd.Flags().StringVar(&file, "config", defaultConfigFile, "file of the keeper to be made; its folder must hold none")
	cmd.Flags().StringVar(&from, "from", "", "folder of a keeper that is left, which does not run")
	cmd.Flags().Uint64Var(&skip, "skip", defaultVersionSkip, "by how much versions go on: more than can have been lost")
	cmd.Flags().BoolVar(&acceptLoss, "accept-loss", false, "do it")
	mustRequire(cmd, "from")
	return cmd
}

// restore makes a single member of another's folder, or only prints what would be lost.
func restore(out io.Writer, file, from string, skip uint64, acceptLoss bool) error {
	cfg, err := readConfig(file)
	if err != nil {
		return &exitError{exitUsage, err}
	}
	got, err := consensus.Restore(cfg.memberConfig(), from, skip, acceptLoss)
	if err != nil {
		return notDone("%v", err)
	}
	fmt.Fprintf(out, "folder of keeper %d, to entry %d of term %d: %d entries known to be agreed on, %d beyond them taken as if they were\n", got.SourceMember, got.LastEntry, got.LastTerm, got.CommittedEntries, got.UncertainEntries)
	fmt.Fprintf(out, "version %d was in force by it, and is version %d from here on: versions after it that the lost keepers agreed on are lost, and so is whatever else they acknowledged after that entry\n", got.Version, got.RestoredVersion)
	if got.WithdrawnChange != "" {
		fmt.Fprintf(out, "change %s was under way by it, and is withdrawn; it may have come into force\n", got.WithdrawnChange)
	}
	fmt.Fprintf(out, "the %d members of before are none any more, and their folders are of no use: generation %d\n", got.FormerMembers, got.Generation)
	if !acceptLoss {
		return notDone("nothing was done: see that no majority of these members can come back, then add --accept-loss")
	}
	fmt.Fprintf(out, "keeper %d stands alone in %s: serve it without --new, then members add\n", cfg.Member, cfg.Folder)
	return nil
}
