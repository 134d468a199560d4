// Package config reads, checks and gives defaults to all configuration of the
// dispatcher: the platform's variables and JSON file, and the operator's
// deploy/yardflow.toml.
//
// Every error names the faulty key; for the operator's files also the line and what was
// expected. The package opens no socket, starts no goroutine, and takes a file as a
// whole or not at all.
package config

import (
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"yardflow/scheduling/dispatch"
)

// Config is the configuration of a dispatcher. It does not change once Load has
// returned it.
type Config struct {
	Name, Listen, Discovery string
	Console                 string   // where operators' calls are taken; empty: nowhere
	PeerListen              string   // where other dispatchers' datagrams come; empty: dispatchers don't talk
	PeersBroadcast          string   // what reaches all other dispatchers
	Peers                   []string // where their datagrams come from
	ListenFD                int      // the descriptor of an inherited listening socket; 0: none
	Seed                    uint64
	Limits                  Limits
	KnownList               json.RawMessage // the server table as last known, in discovery's form
	KnownListInherited      bool            // KnownList comes from a process that still ran, not from the file

	Dispatch                       dispatch.Settings // of the decision module
	Classes, Tenants, Zones, Kinds []string
	LoadColumns                    []string // names of the values in a load report, in the module's order
	ConnectTimeout, IdleTimeout    time.Duration

	// From the operator's file.
	SSE          SSE
	Membership   Membership
	SRV          []SRV
	Coordinators Coordinators
	Trace        bool     // log every event and every decision
	Notices      []string // what an operator should know about how the files were read

	raw any // the platform's file, for Reloaded
}

// InForce is the configuration in force: one snapshot for all parts, replaced as a
// whole.
type InForce struct{ at atomic.Pointer[Config] }

// NewInForce puts c in force.
func NewInForce(c *Config) *InForce {
	f := &InForce{}
	f.at.Store(c)
	return f
}

// Get returns the snapshot in force. Values that belong together are to be read from
// one snapshot.
func (f *InForce) Get() *Config { return f.at.Load() }

// Set puts another configuration in force.
func (f *InForce) Set(c *Config) { f.at.Store(c) }

// Limits are the limits of the machine that the process has to keep.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // descriptors of all kinds
}

// Load reads the platform's variables through env, the file that they name, and the
// operator's file. Without the latter everything in it is off.
func Load(env func(string) string, operatorFile string) (*Config, error) {
	c := &Config{}
	if err := c.loadPlatformFile(env("NODE_CONFIG")); err != nil {
		return nil, err
	}
	if err := c.applyVariables(env); err != nil {
		return nil, err
	}
	if err := c.loadOperator(operatorFile); err != nil {
		return nil, err
	}
	// A fixed list of workers, or one in DNS, needs no discovery.
	if c.Discovery == "" && c.Dispatch.List.MustSubscribe {
		if len(c.SRV) == 0 {
			return nil, errors.New("NODE_DISCOVERY: missing")
		}
		c.Dispatch.List.MustSubscribe = false
	}
	return c, nil
}

// PeersEnabled reports whether the addresses are configured by which dispatchers talk.
func (c *Config) PeersEnabled() bool {
	return c.PeerListen != "" && (c.PeersBroadcast != "" || len(c.Peers) > 0)
}
