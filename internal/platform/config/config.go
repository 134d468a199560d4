// Package config is the one place where configuration is read, checked and
// given defaults: the platform's variables and JSON file, and the operator's
// deploy/yardflow.toml.
// Every error names the faulty key. It must never open a socket, start a
// goroutine or keep anything that changes after start.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"net"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"yardflow/scheduling/dispatch"
)

// Config is all that a dispatcher is told at its start.
type Config struct {
	Name, Listen, Discovery    string
	Console                    string   // where operators call; empty: nowhere
	PeerListen, PeersBroadcast string   // where other dispatchers' datagrams come, and what reaches all of them; empty: they don't talk
	Peers                      []string // theirs, where datagrams come from
	ListenFD                   int      // the descriptor of an inherited listening socket; 0: none
	Seed                       uint64
	Limits                     Limits
	KnownList                  json.RawMessage // the server table as last had, in discovery's form
	KnownListInherited         bool            // a process that runs has handed it over, and not the configuration

	Dispatch                       dispatch.Settings
	Classes, Tenants, Zones, Kinds []string
	LoadColumns                    []string // names of the values in a load report, in the module's order
	ConnectTimeout, IdleTimeout    time.Duration

	// From the operator's file.
	SSE          SSE
	Membership   Membership
	SRV          []SRV
	Coordinators Coordinators
	Trace        bool     // write a line for all that comes in and is decided
	Notices      []string // what an operator should know of how it was read

	file any // the file as read, by key
}

// InForce is the configuration in force: one snapshot for all parts, swapped whole.
type InForce struct{ at atomic.Pointer[Config] }

// NewInForce makes c the configuration in force.
func NewInForce(c *Config) *InForce {
	l := &InForce{}
	l.at.Store(c)
	return l
}

// Get returns the snapshot in force. What belongs together is read from one.
func (l *InForce) Get() *Config { return l.at.Load() }

// Set puts another in its place.
func (l *InForce) Set(c *Config) { l.at.Store(c) }

// Limits are the bounds of the machine.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// SSE is the second front: where it listens and who may use it.
type SSE struct {
	Enabled       bool       `toml:"enabled"`
	Listen        string     `toml:"listen"`
	MaxEventBytes int        `toml:"max_event_bytes"`
	BufferEvents  int        `toml:"buffer_events"`
	WriteTimeout  Duration   `toml:"write_timeout"`
	Heartbeat     Duration   `toml:"heartbeat"`
	Contracts     []Contract `toml:"contract"`
}

// Contract is what one team may ask for.
type Contract struct {
	Team    string   `toml:"team"`
	Tenant  string   `toml:"tenant"`
	Classes []string `toml:"classes"`
	Rate    float64  `toml:"rate"`     // requests a second
	Burst   int      `toml:"burst"`    // requests at once
	MaxOpen int      `toml:"max_open"` // requests unanswered at once
}

// Duration is a time span written as text, such as "5s".
type Duration struct{ time.Duration }

// UnmarshalText reads a Duration.
func (d *Duration) UnmarshalText(text []byte) (err error) {
	d.Duration, err = time.ParseDuration(string(text))
	return err
}

// Load reads the platform's variables through env, the file they name, and the
// operator's file. Without the latter everything in it is off.
func Load(env func(string) string, operatorFile string) (*Config, error) {
	c := &Config{}
	text := []byte("{}")
	if path := env("NODE_CONFIG"); path != "" {
		var err error
		if text, err = os.ReadFile(path); err != nil {
			return nil, fmt.Errorf("NODE_CONFIG: %w", err)
		}
	}
	if err := c.parse(text); err != nil {
		return nil, fmt.Errorf("NODE_CONFIG: %w", err)
	}
	// The variables stand above the file: they are what the platform listens by.
	for _, v := range []struct {
		key string
		to  *string
	}{{"NODE_NAME", &c.Name}, {"NODE_LISTEN", &c.Listen}, {"NODE_DISCOVERY", &c.Discovery}, {"NODE_CONSOLE", &c.Console}} {
		if s := env(v.key); s != "" {
			*v.to = s
		}
		// Nobody need be able to call; whether discovery is needed shows below.
		if *v.to == "" && v.key != "NODE_CONSOLE" && v.key != "NODE_DISCOVERY" {
			return nil, fmt.Errorf("%s: missing", v.key)
		}
	}
	if err := address("NODE_LISTEN", c.Listen); err != nil {
		return nil, err
	}
	if c.Discovery != "" {
		if err := address("NODE_DISCOVERY", c.Discovery); err != nil {
			return nil, err
		}
	}
	if c.Console != "" {
		if err := address("NODE_CONSOLE", c.Console); err != nil {
			return nil, err
		}
	}
	if s := env("NODE_LISTEN_FD"); s != "" {
		// 0 to 2 are the standard streams.
		fd, err := strconv.ParseUint(s, 10, 16)
		if err != nil || fd < 3 {
			return nil, fmt.Errorf("NODE_LISTEN_FD: %q is not a descriptor over 2", s)
		}
		c.ListenFD = int(fd)
	}
	if err := c.loadOperator(operatorFile); err != nil {
		return nil, err
	}
	// A fixed list of workers, or one in DNS, needs no discovery.
	if c.Discovery == "" && c.Dispatch.MustSubscribe {
		if len(c.SRV) == 0 {
			return nil, errors.New("NODE_DISCOVERY: missing")
		}
		c.Dispatch.MustSubscribe = false
	}
	return c, nil
}

// Reload reads and checks the same anew while a dispatcher runs. The file's
// discovery wins over the environment's, which can't have changed since the start.
func Reload(env func(string) string, operatorFile string) (*Config, error) {
	return Load(func(key string) string {
		if key == "NODE_DISCOVERY" {
			return ""
		}
		return env(key)
	}, operatorFile)
}

// Reloaded is c with what a running dispatcher takes up of next: the settings,
// discovery, and the sources of loan workers. The error names a key that next lacks and c's file has: a key left
// out is a fault in the file, and no default may stand in for it.
func (c *Config) Reloaded(next *Config) (*Config, error) {
	if key := missing(c.file, next.file, ""); key != "" {
		return nil, fmt.Errorf("NODE_CONFIG: %s: missing", key)
	}
	own := *c
	own.file, own.Discovery = next.file, next.Discovery
	own.Membership, own.SRV, own.Notices = next.Membership, next.SRV, next.Notices
	own.Dispatch, own.ConnectTimeout, own.IdleTimeout = next.Dispatch, next.ConnectTimeout, next.IdleTimeout
	own.Dispatch.Peers = own.Dispatch.Peers && c.PeersEnabled() // the socket is opened at a start
	own.Classes, own.Tenants, own.Zones, own.Kinds, own.LoadColumns = next.Classes, next.Tenants, next.Zones, next.Kinds, next.LoadColumns
	return &own, nil
}

// PeersEnabled tells whether the addresses are there by which dispatchers talk.
func (c *Config) PeersEnabled() bool {
	return c.PeerListen != "" && (c.PeersBroadcast != "" || len(c.Peers) > 0)
}

// optional keys may come and go: those for a start alone, and the one that the
// protocol says may be absent.
var optional = []string{"known", "seed", "console", "settings.Classes[].AimStretch"}

// missing names a key that old has and next lacks, or has as another kind of
// value. Entries of a list are alike: what all of the old have, all of the next
// must have.
func missing(old, next any, path string) string {
	if reflect.TypeOf(old) != reflect.TypeOf(next) {
		return path
	}
	switch old := old.(type) {
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(old)) {
			at := strings.TrimPrefix(path+"."+key, ".")
			if slices.Contains(optional, at) {
				continue
			}
			value, ok := next.(map[string]any)[key]
			if !ok {
				return at
			}
			if key := missing(old[key], value, at); key != "" {
				return key
			}
		}
	case []any:
		common := alike(old)
		if common == nil {
			return ""
		}
		for _, entry := range next.([]any) {
			if key := missing(common, entry, path+"[]"); key != "" {
				return key
			}
		}
	}
	return ""
}

// alike is what all entries of a list have; nil if they aren't objects.
func alike(list []any) any {
	var common map[string]any
	for _, entry := range list {
		entry, ok := entry.(map[string]any)
		if !ok {
			return nil
		}
		if common == nil {
			common = maps.Clone(entry)
		}
		maps.DeleteFunc(common, func(key string, v any) bool {
			other, ok := entry[key]
			return !ok || reflect.TypeOf(other) != reflect.TypeOf(v)
		})
	}
	if common == nil {
		return nil
	}
	return common
}

// RestartKeys names the keys in which next differs and that a running dispatcher
// can't take up. The seed and the known list are for a start alone and don't count.
func (c *Config) RestartKeys(next *Config) (keys []string) {
	for _, k := range []struct {
		name string
		same bool
	}{{"name", c.Name == next.Name}, {"listen", c.Listen == next.Listen}, {"console", c.Console == next.Console},
		{"peer_listen", c.PeerListen == next.PeerListen}, {"peers_all", c.PeersBroadcast == next.PeersBroadcast}, {"peers", slices.Equal(c.Peers, next.Peers)},
		{"limits", c.Limits == next.Limits}, {"[sse]", reflect.DeepEqual(c.SSE, next.SSE)},
		{"[keepers]", reflect.DeepEqual(c.Coordinators, next.Coordinators)}} {
		if !k.same {
			keys = append(keys, k.name)
		}
	}
	return keys
}

func address(key, s string) error {
	if _, port, err := net.SplitHostPort(s); err != nil {
		return fmt.Errorf("%s: %w", key, err)
	} else if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 && key == "NODE_DISCOVERY" {
		return fmt.Errorf("%s: port %q", key, port)
	}
	return nil
}

func (c *Config) parse(text []byte) error {
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
	if err := json.Unmarshal(text, &c.file); err != nil {
		return err
	}
	c.Name, c.Listen, c.Discovery, c.Console, c.KnownList, c.Limits = in.Name, in.Listen, in.Discovery, in.Console, in.Known, in.Limits
	if c.PeerListen, c.PeersBroadcast, c.Peers = in.PeerListen, in.PeersAll, in.Peers; c.PeerListen != "" {
		for _, a := range append([]string{c.PeersBroadcast}, c.Peers...) {
			if a == "" {
				continue
			}
			if _, err := netip.ParseAddrPort(a); err != nil {
				return fmt.Errorf("peers, peers_all: %q: expected an address and a port", a)
			}
		}
		if err := address("peer_listen", c.PeerListen); err != nil {
			return err
		}
	}
	if in.Seed != "" {
		var err error
		if c.Seed, err = strconv.ParseUint(in.Seed, 16, 64); err != nil {
			h := fnv.New64a() // any text will do for a seed
			h.Write([]byte(in.Seed))
			c.Seed = h.Sum64()
		}
	}
	if c.Limits.Cores == 0 {
		c.Limits.Cores = 1
	}
	if c.Limits.MemoryMB == 0 {
		c.Limits.MemoryMB = 192
	}
	if c.Limits.Sockets == 0 {
		c.Limits.Sockets = 1024
	}
	switch {
	case c.Limits.Cores < 0:
		return fmt.Errorf("limits.cores: %v", c.Limits.Cores)
	case c.Limits.MemoryMB < 32:
		return fmt.Errorf("limits.memory_mb: %d is under 32", c.Limits.MemoryMB)
	case c.Limits.Sockets < 64:
		return fmt.Errorf("limits.sockets: %d is under 64", c.Limits.Sockets)
	case len(in.Settings) == 0:
		return errors.New("settings: missing")
	}
	if err := c.settings(in.Settings); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	// Allowed and without a way, dispatchers would take each other's silence for absence.
	c.Dispatch.Peers = c.Dispatch.Peers && c.PeersEnabled()
	return nil
}

// settings reads the names and times that only a real dispatcher needs.
func (c *Config) settings(text []byte) error {
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
	for i, class := range c.Dispatch.Classes {
		switch {
		case class.Name == "":
			return fmt.Errorf("Classes[%d].Name: missing", i)
		case slices.Contains(c.Classes, class.Name):
			return fmt.Errorf("Classes[%d].Name: %q comes twice", i, class.Name)
		case class.Deadline <= 0:
			return fmt.Errorf("Classes[%d].DeadlineMs: must be over 0", i)
		}
		c.Classes = append(c.Classes, class.Name)
	}
	if len(c.Classes) == 0 {
		return errors.New("Classes: missing")
	}
	for i, t := range in.Tenants {
		if t.Name == "" {
			return fmt.Errorf("Tenants[%d].Name: missing", i)
		}
		c.Tenants = append(c.Tenants, t.Name)
	}
	if in.LoadInfo.Via != "off" {
		c.LoadColumns = in.LoadInfo.Columns
	}
	c.ConnectTimeout, c.IdleTimeout = 250*time.Millisecond, time.Minute
	if v := in.Limits.ConnectTimeoutMs; v != nil {
		c.ConnectTimeout = Milliseconds(*v)
	}
	if v := in.Limits.IdleCloseMs; v != nil {
		c.IdleTimeout = Milliseconds(*v)
	}
	switch m := &c.Dispatch; {
	case c.ConnectTimeout <= 0:
		return errors.New("Limits.ConnectTimeoutMs: must be over 0")
	case c.IdleTimeout <= 0:
		return errors.New("Limits.IdleCloseMs: must be over 0")
	case m.MaxAttempts < 1:
		return errors.New("Limits.MaxAttempts: must be 1 or more")
	case m.DispatcherCount < 1:
		return errors.New("Balancers: must be 1 or more")
	case m.DispatcherIndex < 0 || m.DispatcherIndex >= m.DispatcherCount:
		return fmt.Errorf("MyNumber: %d of %d Balancers", m.DispatcherIndex, m.DispatcherCount)
	case m.MinEventGap < 0:
		return errors.New("RoundMs: must not be negative")
	}
	return nil
}

// ValidateSSE checks the second front against the settings; keys are named under at.
// A front that is off keeps its contracts unchecked: the platform's names are not
// the shop's.
func (c *Config) ValidateSSE(at string) error {
	s := &c.SSE
	switch {
	case s.MaxEventBytes < 256 || s.MaxEventBytes > 1<<20:
		return wrong(at+"max_event_bytes", "%d is not in 256 to 1048576", s.MaxEventBytes)
	case s.BufferEvents < 1 || s.BufferEvents > 1024:
		return wrong(at+"buffer_events", "%d is not in 1 to 1024", s.BufferEvents)
	case s.WriteTimeout.Duration <= 0:
		return wrong(at+"write_timeout", "must be over 0")
	case s.Heartbeat.Duration <= 0:
		return wrong(at+"heartbeat", "must be over 0")
	case !s.Enabled:
		return nil
	}
	if err := address("listen", s.Listen); err != nil {
		return wrong(at+"listen", "%s", strings.TrimPrefix(err.Error(), "listen: "))
	}
	if err := c.ValidateContracts(at, s.Contracts); err != nil {
		return err
	}
	if len(s.Contracts) == 0 {
		return wrong(at+"contract", "at least one is needed")
	}
	return nil
}

// ValidateContracts checks contracts against the settings.
func (c *Config) ValidateContracts(at string, contracts []Contract) error {
	seen := map[string]bool{}
	for i, k := range contracts {
		key := func(name string) string { return fmt.Sprintf("%scontract[%d].%s", at, i, name) }
		switch {
		case k.Team == "":
			return wrong(key("team"), "missing")
		case seen[k.Team]:
			return wrong(key("team"), "%q comes twice", k.Team)
		case len(c.Tenants) > 0 && !slices.Contains(c.Tenants, k.Tenant):
			return wrong(key("tenant"), "unknown tenant %q", k.Tenant)
		case len(k.Classes) == 0:
			return wrong(key("classes"), "missing")
		case k.Rate <= 0:
			return wrong(key("rate"), "must be over 0")
		case k.Burst < 1:
			return wrong(key("burst"), "must be 1 or more")
		case k.MaxOpen < 1:
			return wrong(key("max_open"), "must be 1 or more")
		}
		for _, name := range k.Classes {
			if !slices.Contains(c.Classes, name) {
				return wrong(key("classes"), "unknown class %q", name)
			}
		}
		seen[k.Team] = true
	}
	return nil
}
