package config

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"yardflow/internal/platform/tomlfile"
)

// SSE is the second front: where it listens and who may use it.
type SSE struct {
	Enabled       bool              `toml:"enabled"`
	Listen        string            `toml:"listen"`
	MaxEventBytes int               `toml:"max_event_bytes"`
	BufferEvents  int               `toml:"buffer_events"`
	WriteTimeout  tomlfile.Duration `toml:"write_timeout"`
	Heartbeat     tomlfile.Duration `toml:"heartbeat"`
	Contracts     []Contract        `toml:"contract"`
}

// Contract is what one team may request.
type Contract struct {
	Team    string   `toml:"team"`
	Tenant  string   `toml:"tenant"`
	Classes []string `toml:"classes"`
	Rate    float64  `toml:"rate"`     // requests a second
	Burst   int      `toml:"burst"`    // requests at once
	MaxOpen int      `toml:"max_open"` // requests in flight
}

func defaultSSE() SSE {
	return SSE{MaxEventBytes: 64 << 10, BufferEvents: 32,
		WriteTimeout: tomlfile.Duration{Duration: 2 * time.Second}, Heartbeat: tomlfile.Duration{Duration: 10 * time.Second}}
}

// ValidateSSE checks the second front against the settings; keys are named with prefix
// before them. The contracts of a front that is off are not checked: they name classes
// and tenants, of which another installation's settings may have others.
func (c *Config) ValidateSSE(prefix string) error {
	s := &c.SSE
	switch {
	case s.MaxEventBytes < 256 || s.MaxEventBytes > 1<<20:
		return tomlfile.KeyErrorf(prefix+"max_event_bytes", "%d is not in 256 to 1048576", s.MaxEventBytes)
	case s.BufferEvents < 1 || s.BufferEvents > 1024:
		return tomlfile.KeyErrorf(prefix+"buffer_events", "%d is not in 1 to 1024", s.BufferEvents)
	case s.WriteTimeout.Duration <= 0:
		return tomlfile.KeyErrorf(prefix+"write_timeout", "must be over 0")
	case s.Heartbeat.Duration <= 0:
		return tomlfile.KeyErrorf(prefix+"heartbeat", "must be over 0")
	case !s.Enabled:
		return nil
	}
	if err := checkAddress("listen", s.Listen); err != nil {
		return tomlfile.KeyErrorf(prefix+"listen", "%s", strings.TrimPrefix(err.Error(), "listen: "))
	}
	if err := c.ValidateContracts(prefix, s.Contracts); err != nil {
		return err
	}
	if len(s.Contracts) == 0 {
		return tomlfile.KeyErrorf(prefix+"contract", "at least one is needed")
	}
	return nil
}

// ValidateContracts checks contracts against the settings; keys are named with prefix
// before them.
func (c *Config) ValidateContracts(prefix string, contracts []Contract) error {
	seen := map[string]bool{}
	for i, k := range contracts {
		key := func(name string) string { return fmt.Sprintf("%scontract[%d].%s", prefix, i, name) }
		switch {
		case k.Team == "":
			return tomlfile.KeyErrorf(key("team"), "missing")
		case seen[k.Team]:
			return tomlfile.KeyErrorf(key("team"), "%q comes twice", k.Team)
		case len(c.Tenants) > 0 && !slices.Contains(c.Tenants, k.Tenant):
			return tomlfile.KeyErrorf(key("tenant"), "unknown tenant %q", k.Tenant)
		case len(k.Classes) == 0:
			return tomlfile.KeyErrorf(key("classes"), "missing")
		case k.Rate <= 0:
			return tomlfile.KeyErrorf(key("rate"), "must be over 0")
		case k.Burst < 1:
			return tomlfile.KeyErrorf(key("burst"), "must be 1 or more")
		case k.MaxOpen < 1:
			return tomlfile.KeyErrorf(key("max_open"), "must be 1 or more")
		}
		for _, name := range k.Classes {
			if !slices.Contains(c.Classes, name) {
				return tomlfile.KeyErrorf(key("classes"), "unknown class %q", name)
			}
		}
		seen[k.Team] = true
	}
	return nil
}
