package config

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/miekg/dns"

	"yardflow/internal/discovery/membership"
	"yardflow/internal/discovery/srv"
	"yardflow/internal/platform/tomlfile"
)

// Membership is how the sources of loan workers are merged.
type Membership struct {
	Rule             string            `toml:"rule"`
	FailureThreshold int               `toml:"fail_after"`
	FailbackDelay    tomlfile.Duration `toml:"backup_settle"`
	PublishInterval  tomlfile.Duration `toml:"tell_every"`
}

// SRV is one list of loan workers in DNS.
type SRV struct {
	Name            string            `toml:"name"`
	Service         string            `toml:"service"`
	Servers         []string          `toml:"servers"`
	Zone            string            `toml:"zone"`
	Kind            string            `toml:"kind"`
	Cell            int               `toml:"cell"`
	Identity        string            `toml:"identity"`
	Addresses       string            `toml:"addresses"`
	Timeout         tomlfile.Duration `toml:"timeout"`
	MinTTL          tomlfile.Duration `toml:"floor"`
	MaxTTL          tomlfile.Duration `toml:"ceiling"`
	StaleTTL        tomlfile.Duration `toml:"stale"`
	AfterStale      string            `toml:"after_stale"`
	ShrinkThreshold *float64          `toml:"shrink_part"`
	ShrinkHoldTime  tomlfile.Duration `toml:"shrink_hold"`
	InferStart      *bool             `toml:"cold_names"`
	MaxRecords      int               `toml:"max_records"`
}

// addressTypes are the DNS types by the values of the key addresses.
var addressTypes = map[string][]uint16{"any": {dns.TypeA, dns.TypeAAAA}, "ipv4": {dns.TypeA}, "ipv6": {dns.TypeAAAA}}

// DefaultMembership is how sources are merged where the file says nothing.
func DefaultMembership() Membership {
	return Membership{Rule: string(membership.RuleRosterVetoes), FailureThreshold: 3,
		FailbackDelay: tomlfile.Duration{Duration: 10 * time.Second}, PublishInterval: tomlfile.Duration{Duration: 200 * time.Millisecond}}
}

// maxPublishInterval leaves 100 ms for a drain that DNS reports to take effect within
// the 500 ms that the platform's page asks for.
const maxPublishInterval = 400 * time.Millisecond

// checkMembership checks [membership] and [[source.srv]], and fills in what is left out.
func (c *Config) checkMembership() error {
	m := &c.Membership
	switch r := membership.MergeRule(m.Rule); {
	case r != membership.RuleRosterVetoes && r != membership.RuleAny && r != membership.RuleAll:
		return tomlfile.KeyErrorf("membership.rule", "%q; expected %q, %q or %q", m.Rule, membership.RuleRosterVetoes, membership.RuleAny, membership.RuleAll)
	case m.FailureThreshold < 1 || m.FailureThreshold > 100:
		return tomlfile.KeyErrorf("membership.fail_after", "%d; expected 1 to 100 connects", m.FailureThreshold)
	case m.FailbackDelay.Duration < 0 || m.FailbackDelay.Duration > time.Hour:
		return tomlfile.KeyErrorf("membership.backup_settle", "%v; expected 0s to 1h", m.FailbackDelay)
	case m.PublishInterval.Duration < 10*time.Millisecond || m.PublishInterval.Duration > maxPublishInterval:
		return tomlfile.KeyErrorf("membership.tell_every", "%v; expected 10ms to 400ms", m.PublishInterval)
	}
	seen := map[string]bool{membership.RosterSource: true}
	for i := range c.SRV {
		s, prefix := &c.SRV[i], fmt.Sprintf("source.srv[%d].", i)
		s.applyDefaults()
		if err := c.checkSRV(s, prefix, seen); err != nil {
			return err
		}
		seen[s.Name] = true
		if err := s.checkServersAndTimes(prefix); err != nil {
			return err
		}
	}
	return nil
}

func (s *SRV) applyDefaults() {
	setDefault(&s.Timeout, 400*time.Millisecond)
	setDefault(&s.MinTTL, time.Second)
	setDefault(&s.MaxTTL, time.Hour)
	setDefault(&s.StaleTTL, time.Hour)
	setDefault(&s.ShrinkHoldTime, 30*time.Second)
	if s.ShrinkThreshold == nil {
		s.ShrinkThreshold = new(0.5)
	}
	if s.InferStart == nil {
		s.InferStart = new(true)
	}
	if s.MaxRecords == 0 {
		s.MaxRecords = 4096
	}
	for _, d := range []struct {
		to    *string
		value string
	}{{&s.Identity, string(membership.ByHostPort)}, {&s.Addresses, "any"}, {&s.AfterStale, "drain"}} {
		if *d.to == "" {
			*d.to = d.value
		}
	}
}

// validSourceName reports whether a source may have that name, which stands in one-line
// answers of the console.
func validSourceName(s string) bool {
	return s != "" && len(s) <= 63 && strings.Trim(s, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-") == ""
}

// checkSRV checks one list against the settings and the names of the sources before it.
func (c *Config) checkSRV(s *SRV, prefix string, seen map[string]bool) error {
	labels, valid := dns.IsDomainName(s.Service)
	switch {
	case !validSourceName(s.Name):
		return tomlfile.KeyErrorf(prefix+"name", "%q; expected letters, digits, '.', '_' or '-', 63 at most", s.Name)
	case seen[s.Name]:
		return tomlfile.KeyErrorf(prefix+"name", "%q is another source's name already", s.Name)
	case !valid || labels < 2 || !strings.HasPrefix(s.Service, "_"):
		return tomlfile.KeyErrorf(prefix+"service", "%q; expected a full name such as _loans._tcp.example.cz", s.Service)
	case len(s.Servers) == 0:
		return tomlfile.KeyErrorf(prefix+"servers", "missing; expected at least one address such as 10.0.0.53:53")
	case len(c.Zones) > 0 && !slices.Contains(c.Zones, s.Zone):
		return tomlfile.KeyErrorf(prefix+"zone", "%q; expected one of %q", s.Zone, c.Zones)
	case len(c.Kinds) > 0 && !slices.Contains(c.Kinds, s.Kind):
		return tomlfile.KeyErrorf(prefix+"kind", "%q; expected one of %q", s.Kind, c.Kinds)
	case s.Identity != string(membership.ByHostPort) && s.Identity != string(membership.ByLabel):
		return tomlfile.KeyErrorf(prefix+"identity", "%q; expected %q or %q", s.Identity, membership.ByHostPort, membership.ByLabel)
	case addressTypes[s.Addresses] == nil:
		return tomlfile.KeyErrorf(prefix+"addresses", "%q; expected \"any\", \"ipv4\" or \"ipv6\"", s.Addresses)
	case s.AfterStale != "drain" && s.AfterStale != "keep":
		return tomlfile.KeyErrorf(prefix+"after_stale", "%q; expected \"drain\" or \"keep\"", s.AfterStale)
	case *s.ShrinkThreshold <= 0 || *s.ShrinkThreshold > 1:
		return tomlfile.KeyErrorf(prefix+"shrink_part", "%v; expected over 0 and up to 1", *s.ShrinkThreshold)
	case s.MaxRecords < 1 || s.MaxRecords > 1<<16:
		return tomlfile.KeyErrorf(prefix+"max_records", "%d; expected 1 to 65536", s.MaxRecords)
	}
	return nil
}

func (s *SRV) checkServersAndTimes(prefix string) error {
	for i, text := range s.Servers {
		if a, err := netip.ParseAddrPort(text); err != nil || a.Port() == 0 {
			return tomlfile.KeyErrorf(prefix+"servers", "[%d] is %q; expected an IP address and a port such as 10.0.0.53:53", i, text)
		}
	}
	checkRange := func(key string, d tomlfile.Duration, least, most time.Duration) error {
		if d.Duration < least || d.Duration > most {
			return tomlfile.KeyErrorf(prefix+key, "%v; expected %v to %v", d, least, most)
		}
		return nil
	}
	const week = 7 * 24 * time.Hour
	return errors.Join(
		checkRange("timeout", s.Timeout, 10*time.Millisecond, 10*time.Second),
		checkRange("floor", s.MinTTL, 100*time.Millisecond, time.Hour),
		checkRange("ceiling", s.MaxTTL, s.MinTTL.Duration, week),
		checkRange("stale", s.StaleTTL, 0, week),
		checkRange("shrink_hold", s.ShrinkHoldTime, 0, time.Hour))
}

// ResolverConfig returns the configuration of the list's resolver.
func (s *SRV) ResolverConfig() srv.Config {
	out := srv.Config{Service: dns.Fqdn(s.Service), Timeout: s.Timeout.Duration, MinTTL: s.MinTTL.Duration, MaxTTL: s.MaxTTL.Duration,
		StaleTTL: s.StaleTTL.Duration, AddressTypes: addressTypes[s.Addresses], MaxRecords: s.MaxRecords}
	for _, text := range s.Servers {
		out.Servers = append(out.Servers, netip.MustParseAddrPort(text))
	}
	return out
}

// MembershipConfig returns the configuration of the merged list: the roster first, then
// the lists in DNS in the order of the file.
func (c *Config) MembershipConfig() membership.Config {
	out := membership.Config{Rule: membership.MergeRule(c.Membership.Rule), FailureThreshold: c.Membership.FailureThreshold,
		FailbackDelay: c.Membership.FailbackDelay.Duration, Sources: []membership.Source{{Name: membership.RosterSource, Identity: membership.ByID}}}
	for i := range c.SRV {
		s := &c.SRV[i]
		out.Sources = append(out.Sources, membership.Source{Name: s.Name, Identity: membership.Identity(s.Identity), StaleTTL: s.StaleTTL.Duration,
			KeepStale: s.AfterStale == "keep", ShrinkThreshold: *s.ShrinkThreshold, ShrinkHoldTime: s.ShrinkHoldTime.Duration, InferStart: *s.InferStart})
	}
	return out
}
