package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"time"

	"yardflow/internal/platform/tomlfile"
)

// Defaults of the machine's limits, and the least under which a dispatcher can run.
const (
	defaultCores    = 1
	defaultMemoryMB = 192
	defaultSockets  = 1024

	minMemoryMB = 32
	minSockets  = 64
)

// Defaults of the times that concern connections to workers.
const (
	defaultConnectTimeout = 250 * time.Millisecond
	defaultIdleTimeout    = time.Minute
)

// loadPlatformFile reads the platform's JSON file; an empty path is an empty file.
func (c *Config) loadPlatformFile(path string) error {
	text := []byte("{}")
	if path != "" {
		var err error
		if text, err = os.ReadFile(path); err != nil {
			return fmt.Errorf("NODE_CONFIG: %w", err)
		}
	}
	if err := c.parsePlatformFile(text); err != nil {
		return fmt.Errorf("NODE_CONFIG: %w", err)
	}
	return nil
}

func (c *Config) parsePlatformFile(text []byte) error {
	var in struct {
		Name, Listen, Discovery, Console, Seed string
		PeerListen                             string `json:"peer_listen"`
		PeersAll                               string `json:"peers_all"`
		Peers                                  []string
		Limits                                 Limits
		Known, Settings                        json.RawMessage
	}
	if err := json.Unmarshal(text, &in); err != nil {
		return err
	}
	if err := json.Unmarshal(text, &c.raw); err != nil {
		return err
	}
	c.Name, c.Listen, c.Discovery, c.Console, c.KnownList, c.Limits = in.Name, in.Listen, in.Discovery, in.Console, in.Known, in.Limits
	c.PeerListen, c.PeersBroadcast, c.Peers = in.PeerListen, in.PeersAll, in.Peers
	if err := c.checkPeers(); err != nil {
		return err
	}
	c.Seed = parseSeed(in.Seed)
	if err := c.Limits.applyDefaults(); err != nil {
		return err
	}
	if len(in.Settings) == 0 {
		return errors.New("settings: missing")
	}
	if err := c.parseSettings(in.Settings); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	// Allowed but without a way to talk, dispatchers would take each other's silence
	// for absence.
	c.Dispatch.Fleet.Peers = c.Dispatch.Fleet.Peers && c.PeersEnabled()
	return nil
}

func (c *Config) checkPeers() error {
	if c.PeerListen == "" {
		return nil
	}
	for _, a := range append([]string{c.PeersBroadcast}, c.Peers...) {
		if a == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(a); err != nil {
			return fmt.Errorf("peers, peers_all: %q: expected an address and a port", a)
		}
	}
	return checkAddress("peer_listen", c.PeerListen)
}

// parseSeed reads a seed in hexadecimal; any other text is hashed.
func parseSeed(text string) uint64 {
	if text == "" {
		return 0
	}
	if seed, err := strconv.ParseUint(text, 16, 64); err == nil {
		return seed
	}
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}

// applyDefaults sets what the platform does not state, and checks the rest.
func (l *Limits) applyDefaults() error {
	if l.Cores == 0 {
		l.Cores = defaultCores
	}
	if l.MemoryMB == 0 {
		l.MemoryMB = defaultMemoryMB
	}
	if l.Sockets == 0 {
		l.Sockets = defaultSockets
	}
	switch {
	case l.Cores < 0:
		return fmt.Errorf("limits.cores: %v", l.Cores)
	case l.MemoryMB < minMemoryMB:
		return fmt.Errorf("limits.memory_mb: %d is under %d", l.MemoryMB, minMemoryMB)
	case l.Sockets < minSockets:
		return fmt.Errorf("limits.sockets: %d is under %d", l.Sockets, minSockets)
	}
	return nil
}

// parseSettings reads the settings object: the decision module's settings, and the
// names and times that only a real dispatcher needs.
func (c *Config) parseSettings(text []byte) error {
	var err error
	if c.Dispatch, err = ParseSettings(text); err != nil {
		return err
	}
	var in struct {
		Areas, HostTypes []string
		Tenants          []struct{ Name string }
		LoadInfo         struct {
			Columns []string
			Via     string
		}
		Limits struct{ ConnectTimeoutMs, IdleCloseMs *float64 }
	}
	if err := json.Unmarshal(text, &in); err != nil {
		return err
	}
	c.Zones, c.Kinds = in.Areas, in.HostTypes
	if err := c.nameClasses(); err != nil {
		return err
	}
	for i, t := range in.Tenants {
		if t.Name == "" {
			return tomlfile.KeyErrorf(fmt.Sprintf("Tenants[%d].Name", i), "missing")
		}
		c.Tenants = append(c.Tenants, t.Name)
	}
	if in.LoadInfo.Via != "off" {
		c.LoadColumns = in.LoadInfo.Columns
	}
	c.ConnectTimeout, c.IdleTimeout = defaultConnectTimeout, defaultIdleTimeout
	if v := in.Limits.ConnectTimeoutMs; v != nil {
		c.ConnectTimeout = Milliseconds(*v)
	}
	if v := in.Limits.IdleCloseMs; v != nil {
		c.IdleTimeout = Milliseconds(*v)
	}
	return c.checkSettings()
}

// nameClasses fills Classes and checks what a real dispatcher needs of each.
func (c *Config) nameClasses() error {
	for i, class := range c.Dispatch.Classes {
		switch {
		case class.Name == "":
			return tomlfile.KeyErrorf(fmt.Sprintf("Classes[%d].Name", i), "missing")
		case slices.Contains(c.Classes, class.Name):
			return tomlfile.KeyErrorf(fmt.Sprintf("Classes[%d].Name", i), "%q comes twice", class.Name)
		case class.Deadline <= 0:
			return tomlfile.KeyErrorf(fmt.Sprintf("Classes[%d].DeadlineMs", i), "must be over 0")
		}
		c.Classes = append(c.Classes, class.Name)
	}
	if len(c.Classes) == 0 {
		return tomlfile.KeyErrorf("Classes", "missing")
	}
	return nil
}

func (c *Config) checkSettings() error {
	switch m := &c.Dispatch; {
	case c.ConnectTimeout <= 0:
		return tomlfile.KeyErrorf("Limits.ConnectTimeoutMs", "must be over 0")
	case c.IdleTimeout <= 0:
		return tomlfile.KeyErrorf("Limits.IdleCloseMs", "must be over 0")
	case m.Attempts.Max < 1:
		return tomlfile.KeyErrorf("Limits.MaxAttempts", "must be 1 or more")
	case m.Fleet.Count < 1:
		return tomlfile.KeyErrorf("Balancers", "must be 1 or more")
	case m.Fleet.Index < 0 || m.Fleet.Index >= m.Fleet.Count:
		return tomlfile.KeyErrorf("MyNumber", "%d of %d Balancers", m.Fleet.Index, m.Fleet.Count)
	case m.MinEventGap < 0:
		return tomlfile.KeyErrorf("RoundMs", "must not be negative")
	}
	return nil
}
