package config

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// Reload reads and checks the same as Load while a dispatcher runs. The file's
// discovery takes precedence over the variable, which can't have changed since the
// start.
func Reload(env func(string) string, operatorFile string) (*Config, error) {
	return Load(func(key string) string {
		if key == "NODE_DISCOVERY" {
			return ""
		}
		return env(key)
	}, operatorFile)
}

// Reloaded returns c with what a running dispatcher takes over from next: the settings,
// discovery, and the sources of loan workers. The error names a key that next lacks and
// c's file has: a key left out is a fault of the file, for which no default may stand in.
func (c *Config) Reloaded(next *Config) (*Config, error) {
	if key := missingKey(c.raw, next.raw, ""); key != "" {
		return nil, fmt.Errorf("NODE_CONFIG: %s: missing", key)
	}
	own := *c
	own.raw, own.Discovery = next.raw, next.Discovery
	own.Membership, own.SRV, own.Notices = next.Membership, next.SRV, next.Notices
	own.Dispatch, own.ConnectTimeout, own.IdleTimeout = next.Dispatch, next.ConnectTimeout, next.IdleTimeout
	own.Dispatch.Fleet.Peers = own.Dispatch.Fleet.Peers && c.PeersEnabled() // the socket is opened at a start
	own.Classes, own.Tenants, own.Zones, own.Kinds, own.LoadColumns = next.Classes, next.Tenants, next.Zones, next.Kinds, next.LoadColumns
	return &own, nil
}

// RestartKeys names the keys in which next differs and that take effect only at a
// start. The seed and the known list are for a start alone and don't count.
func (c *Config) RestartKeys(next *Config) (keys []string) {
	for _, k := range []struct {
		name string
		same bool
	}{
		{"name", c.Name == next.Name},
		{"listen", c.Listen == next.Listen},
		{"console", c.Console == next.Console},
		{"peer_listen", c.PeerListen == next.PeerListen},
		{"peers_all", c.PeersBroadcast == next.PeersBroadcast},
		{"peers", slices.Equal(c.Peers, next.Peers)},
		{"limits", c.Limits == next.Limits},
		{"[sse]", reflect.DeepEqual(c.SSE, next.SSE)},
		{"[keepers]", reflect.DeepEqual(c.Coordinators, next.Coordinators)},
	} {
		if !k.same {
			keys = append(keys, k.name)
		}
	}
	return keys
}

// optionalKeys may come and go: those for a start alone, and the one that the
// protocol says may be absent.
var optionalKeys = []string{"known", "seed", "console", "settings.Classes[].AimStretch"}

// missingKey names a key below path that old has and next lacks, or has as another kind
// of value; empty if there is none. Entries of a list are alike: what all of the old
// have, all of the next must have.
func missingKey(old, next any, path string) string {
	if reflect.TypeOf(old) != reflect.TypeOf(next) {
		return path
	}
	switch old := old.(type) {
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(old)) {
			at := strings.TrimPrefix(path+"."+key, ".")
			if slices.Contains(optionalKeys, at) {
				continue
			}
			value, ok := next.(map[string]any)[key]
			if !ok {
				return at
			}
			if key := missingKey(old[key], value, at); key != "" {
				return key
			}
		}
	case []any:
		common := commonKeys(old)
		if common == nil {
			return ""
		}
		for _, entry := range next.([]any) {
			if key := missingKey(common, entry, path+"[]"); key != "" {
				return key
			}
		}
	}
	return ""
}

// commonKeys is an object of the keys that all entries of a list have with the same
// kind of value; nil if the entries aren't objects.
func commonKeys(list []any) any {
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
		return nil // not an any that holds a nil map
	}
	return common
}
