package main

// This file owns the keeper's file: read whole, each fault named by its key and line with what
// was expected.

import (
	"errors"
	"fmt"
	"log"
	"net"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"yardflow/internal/fleet/consensus"
	"yardflow/internal/fleet/statemachine"
	"yardflow/internal/platform/config"
)

type keeperConfig struct {
	Fleet    string          `toml:"fleet"`
	Member   uint64          `toml:"member"`
	Listen   string          `toml:"listen"`
	Folder   string          `toml:"folder"`
	Lease    config.Duration `toml:"lease"`
	Answer   config.Duration `toml:"answer"`
	Fence    string          `toml:"fence"`
	Keep     int             `toml:"keep"`
	Tick     config.Duration `toml:"tick"`
	Snapshot int             `toml:"snapshot"`
	Members  []struct {
		ID   uint64 `toml:"id"`
		Addr string `toml:"addr"`
	} `toml:"keeper"`

	fence statemachine.LeaseLossMode
}

func (c *keeperConfig) members() map[uint64]string {
	out := map[uint64]string{}
	for _, m := range c.Members {
		out[m.ID] = m.Addr
	}
	return out
}

// quorum is what the file says of this keeper's part.
func (c *keeperConfig) quorum() consensus.Config {
	return consensus.Config{Fleet: c.Fleet, MemberID: c.Member, InitialMembers: c.members(), Dir: c.Folder,
		State: statemachine.Config{LeaseDuration: c.Lease.Duration, VoteTimeout: c.Answer.Duration, OnLeaseLoss: c.fence, PolicyHistory: c.Keep},
		Log:   func(s string) { log.Print(s) }, TickInterval: c.Tick.Duration, SnapshotEntries: uint64(c.Snapshot)}
}

func readConfig(file string) (*keeperConfig, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	c := &keeperConfig{Lease: config.Duration{Duration: 3 * time.Second}, Answer: config.Duration{Duration: 10 * time.Second}, Fence: "refuse", Keep: 50,
		Tick: config.Duration{Duration: 100 * time.Millisecond}, Snapshot: 2000}
	var all []error
	wrong := func(row int, format string, args ...any) {
		at := file
		if row > 0 {
			at = fmt.Sprintf("%s:%d", file, row)
		}
		all = append(all, fmt.Errorf("%s: %s", at, fmt.Sprintf(format, args...)))
	}
	if err := toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields().Decode(c); err != nil {
		var strict *toml.StrictMissingError
		var broken *toml.DecodeError
		switch {
		case errors.As(err, &strict):
			for _, e := range strict.Errors {
				row, _ := e.Position()
				wrong(row, "%s: unknown", strings.Join(e.Key(), "."))
			}
		case errors.As(err, &broken):
			row, _ := broken.Position()
			wrong(row, "%s", broken.Error())
		default:
			wrong(0, "%v", err)
		}
		return nil, errors.Join(all...)
	}
	lines := config.IndexKeys(text)
	line := func(key string) int {
		if row := lines.Line(key); row > 1 || lines.Has(key) {
			return row
		}
		return 0
	}
	if c.Fleet == "" {
		wrong(line("fleet"), "fleet: missing; expected the fleet's name")
	}
	if c.Folder == "" {
		wrong(line("folder"), "folder: missing; expected where this keeper's log is kept")
	}
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		wrong(line("listen"), "listen: %v; expected host:port", err)
	}
	if c.fence, err = statemachine.ParseLeaseLossMode(c.Fence); err != nil {
		wrong(line("fence"), "fence: %v", err)
	}
	for _, d := range []struct {
		key    string
		v      time.Duration
		lo, hi time.Duration
	}{{"lease", c.Lease.Duration, 300 * time.Millisecond, time.Minute}, {"answer", c.Answer.Duration, 300 * time.Millisecond, 10 * time.Minute},
		{"tick", c.Tick.Duration, 5 * time.Millisecond, time.Second}} {
		if d.v < d.lo || d.v > d.hi {
			wrong(line(d.key), "%s: %v; expected %v to %v", d.key, d.v, d.lo, d.hi)
		}
	}
	if c.Lease.Duration < 3*c.Tick.Duration {
		wrong(line("lease"), "lease: %v; expected three ticks of %v or more", c.Lease, c.Tick)
	}
	if c.Keep < 2 || c.Keep > 10000 {
		wrong(line("keep"), "keep: %d; expected 2 to 10000 versions", c.Keep)
	}
	if c.Snapshot < 10 {
		wrong(line("snapshot"), "snapshot: %d; expected 10 entries or more", c.Snapshot)
	}
	if n := len(c.Members); n < 1 || n > 7 {
		wrong(0, "keeper: %d of them; expected 1, 3 or 5 sections [[keeper]], and up to 7 while they change", n)
	}
	seen := map[uint64]bool{}
	for i, m := range c.Members {
		if m.ID == 0 || seen[m.ID] {
			wrong(line(fmt.Sprintf("keeper[%d].id", i)), "keeper[%d].id: %d; expected a number of its own, 1 and up", i, m.ID)
		}
		seen[m.ID] = true
		if _, _, err := net.SplitHostPort(m.Addr); err != nil {
			wrong(line(fmt.Sprintf("keeper[%d].addr", i)), "keeper[%d].addr: %v; expected host:port", i, err)
		}
	}
	if !seen[c.Member] {
		wrong(line("member"), "member: %d; expected one of the keepers' ids", c.Member)
	}
	if len(all) > 0 {
		return nil, errors.Join(all...)
	}
	return c, nil
}
