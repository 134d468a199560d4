package main

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
	"yardflow/internal/platform/tomlfile"
)

// fileConfig is a coordinator's file.
type fileConfig struct {
	Fleet           string            `toml:"fleet"`
	Member          uint64            `toml:"member"`
	Listen          string            `toml:"listen"`
	Folder          string            `toml:"folder"`
	Lease           tomlfile.Duration `toml:"lease"`
	VoteTimeout     tomlfile.Duration `toml:"answer"`
	OnLeaseLoss     string            `toml:"fence"`
	PolicyHistory   int               `toml:"keep"`
	Tick            tomlfile.Duration `toml:"tick"`
	SnapshotEntries int               `toml:"snapshot"`
	Members         []struct {
		ID   uint64 `toml:"id"`
		Addr string `toml:"addr"`
	} `toml:"keeper"`

	onLeaseLoss statemachine.LeaseLossMode // OnLeaseLoss, parsed
}

func defaultConfig() *fileConfig {
	return &fileConfig{
		Lease:           tomlfile.Duration{Duration: 3 * time.Second},
		VoteTimeout:     tomlfile.Duration{Duration: 10 * time.Second},
		OnLeaseLoss:     "refuse",
		PolicyHistory:   50,
		Tick:            tomlfile.Duration{Duration: 100 * time.Millisecond},
		SnapshotEntries: 2000,
	}
}

// memberConfig returns the configuration of this member of the consensus.
func (c *fileConfig) memberConfig() consensus.Config {
	members := map[uint64]string{}
	for _, m := range c.Members {
		members[m.ID] = m.Addr
	}
	return consensus.Config{Fleet: c.Fleet, MemberID: c.Member, InitialMembers: members, Dir: c.Folder,
		State: statemachine.Config{LeaseDuration: c.Lease.Duration, VoteTimeout: c.VoteTimeout.Duration, OnLeaseLoss: c.onLeaseLoss, PolicyHistory: c.PolicyHistory},
		Log:   func(s string) { log.Print(s) }, TickInterval: c.Tick.Duration, SnapshotEntries: uint64(c.SnapshotEntries)}
}

// callTimeout bounds a call at this member: two elections of ten ticks each, and a second
// for the call itself.
func (c *fileConfig) callTimeout() time.Duration { return 20*c.Tick.Duration + time.Second }

// readConfig reads a coordinator's file and checks all of it: the error has a line for each
// fault, with the file's line, the key and what was expected.
func readConfig(file string) (*fileConfig, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	c := defaultConfig()
	v := &validator{file: file}
	if err := toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields().Decode(c); err != nil {
		v.addDecodeError(err)
		return nil, errors.Join(v.errs...)
	}
	v.keys = tomlfile.IndexKeys(text)
	c.validate(v)
	if len(v.errs) > 0 {
		return nil, errors.Join(v.errs...)
	}
	return c, nil
}

func (c *fileConfig) validate(v *validator) {
	if c.Fleet == "" {
		v.add("fleet", "missing; expected the fleet's name")
	}
	if c.Folder == "" {
		v.add("folder", "missing; expected where this keeper's log is kept")
	}
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		v.add("listen", "%v; expected host:port", err)
	}
	var err error
	if c.onLeaseLoss, err = statemachine.ParseLeaseLossMode(c.OnLeaseLoss); err != nil {
		v.add("fence", "%v", err)
	}
	v.checkRange("lease", c.Lease, 300*time.Millisecond, time.Minute)
	v.checkRange("answer", c.VoteTimeout, 300*time.Millisecond, 10*time.Minute)
	v.checkRange("tick", c.Tick, 5*time.Millisecond, time.Second)
	if c.Lease.Duration < 3*c.Tick.Duration {
		v.add("lease", "%v; expected three ticks of %v or more", c.Lease, c.Tick)
	}
	if c.PolicyHistory < 2 || c.PolicyHistory > 10000 {
		v.add("keep", "%d; expected 2 to 10000 versions", c.PolicyHistory)
	}
	if c.SnapshotEntries < 10 {
		v.add("snapshot", "%d; expected 10 entries or more", c.SnapshotEntries)
	}
	c.validateMembers(v)
}

func (c *fileConfig) validateMembers(v *validator) {
	if n := len(c.Members); n < 1 || n > 7 {
		v.addAt(0, "keeper: %d of them; expected 1, 3 or 5 sections [[keeper]], and up to 7 while they change", n)
	}
	seen := map[uint64]bool{}
	for i, m := range c.Members {
		if m.ID == 0 || seen[m.ID] {
			v.add(fmt.Sprintf("keeper[%d].id", i), "%d; expected a number of its own, 1 and up", m.ID)
		}
		seen[m.ID] = true
		if _, _, err := net.SplitHostPort(m.Addr); err != nil {
			v.add(fmt.Sprintf("keeper[%d].addr", i), "%v; expected host:port", err)
		}
	}
	if !seen[c.Member] {
		v.add("member", "%d; expected one of the keepers' ids", c.Member)
	}
}

// validator collects the faults of a file.
type validator struct {
	file string
	keys tomlfile.KeyIndex
	errs []error
}

// addAt adds a fault at a line; 0 where there is none.
func (v *validator) addAt(line int, format string, args ...any) {
	at := v.file
	if line > 0 {
		at = fmt.Sprintf("%s:%d", v.file, line)
	}
	v.errs = append(v.errs, fmt.Errorf("%s: %s", at, fmt.Sprintf(format, args...)))
}

// add adds a fault of a key at the key's line, or at that of the table around it.
func (v *validator) add(key, format string, args ...any) {
	line := v.keys.Line(key)
	if line <= 1 && !v.keys.Has(key) {
		line = 0 // line 1 then stands for a key that is nowhere
	}
	v.addAt(line, "%s: %s", key, fmt.Sprintf(format, args...))
}

func (v *validator) checkRange(key string, d tomlfile.Duration, least, most time.Duration) {
	if d.Duration < least || d.Duration > most {
		v.add(key, "%v; expected %v to %v", d, least, most)
	}
}

// addDecodeError adds the faults of a file that can't be decoded.
func (v *validator) addDecodeError(err error) {
	var unknown *toml.StrictMissingError
	var malformed *toml.DecodeError
	switch {
	case errors.As(err, &unknown):
		for _, e := range unknown.Errors {
			line, _ := e.Position()
			v.addAt(line, "%s: unknown", strings.Join(e.Key(), "."))
		}
	case errors.As(err, &malformed):
		line, _ := malformed.Position()
		v.addAt(line, "%s", malformed.Error())
	default:
		v.addAt(0, "%v", err)
	}
}
