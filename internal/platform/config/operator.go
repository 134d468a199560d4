package config

// This file owns the operator's own file, deploy/yardflow.toml: everything that an
// installation may switch on beside what the platform tells. Whatever is wrong
// with it is named by key and line, with what was expected. It must never take
// half of a file.

import (
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/miekg/dns"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"yardflow/internal/discovery/membership"
	"yardflow/internal/discovery/srv"
	"yardflow/scheduling/backfill"
)

// Membership is how the sources of loan workers are merged.
type Membership struct {
	Rule             string   `toml:"rule"`
	FailureThreshold int      `toml:"fail_after"`
	FailbackDelay    Duration `toml:"backup_settle"`
	PublishInterval  Duration `toml:"tell_every"`
}

// SRV is one list of loan workers in DNS.
type SRV struct {
	Name            string   `toml:"name"`
	Service         string   `toml:"service"`
	Servers         []string `toml:"servers"`
	Zone            string   `toml:"zone"`
	Kind            string   `toml:"kind"`
	Cell            int      `toml:"cell"`
	Identity        string   `toml:"identity"`
	Addresses       string   `toml:"addresses"`
	Timeout         Duration `toml:"timeout"`
	MinTTL          Duration `toml:"floor"`
	MaxTTL          Duration `toml:"ceiling"`
	StaleTTL        Duration `toml:"stale"`
	AfterStale      string   `toml:"after_stale"`
	ShrinkThreshold *float64 `toml:"shrink_part"`
	ShrinkHoldTime  Duration `toml:"shrink_hold"`
	InferStart      *bool    `toml:"cold_names"`
	MaxRecords      int      `toml:"max_records"`
}

// Backfill is how room is held for large jobs.
type Backfill struct {
	Enabled   bool     `toml:"enabled"`
	Mode      string   `toml:"mode"`
	Quantile  float64  `toml:"quantile"`
	Most      int      `toml:"most"`
	Longest   Duration `toml:"longest"`
	Budget    float64  `toml:"budget"`
	SmallWait Duration `toml:"small_wait"`
	Large     float64  `toml:"large"`
}

// Coordinators are where a fleet's policies are agreed on; without addresses, nowhere.
type Coordinators struct {
	Fleet       string   `toml:"fleet"`
	Addresses   []string `toml:"addresses"`
	OnLeaseLoss string   `toml:"fence"`
}

// operator is the file's form.
type operator struct {
	Keepers    Coordinators `toml:"keepers"`
	SSE        *SSE         `toml:"sse"`
	Membership *Membership  `toml:"membership"`
	Room       Backfill     `toml:"room"`
	Log        struct {
		Trace bool `toml:"trace"`
	} `toml:"log"`
	Source struct {
		SRV []SRV `toml:"srv"`
	} `toml:"source"`
}

// fault is what is wrong with one key.
type fault struct{ key, what string }

func (f *fault) Error() string { return f.key + ": " + f.what }

func wrong(key, format string, args ...any) error { return &fault{key, fmt.Sprintf(format, args...)} }

// oldSSE is the second front's file from before there was this one.
const oldSSE = "sse.toml"

// DefaultMembership is how sources are merged where the file says nothing.
func DefaultMembership() Membership {
	return Membership{Rule: string(membership.RuleRosterVetoes), FailureThreshold: 3,
		FailbackDelay: Duration{10 * time.Second}, PublishInterval: Duration{200 * time.Millisecond}}
}

func defaultSSE() SSE {
	return SSE{MaxEventBytes: 64 << 10, BufferEvents: 32,
		WriteTimeout: Duration{2 * time.Second}, Heartbeat: Duration{10 * time.Second}}
}

// loadOperator reads the operator's file; one that is not there leaves everything
// off. Without a section [sse] in it, the old file beside it counts, with a notice.
func (c *Config) loadOperator(path string) error {
	c.SSE = defaultSSE()
	c.Membership = DefaultMembership()
	d := backfill.DefaultSettings()
	in := operator{SSE: &SSE{}, Membership: &c.Membership, Room: Backfill{Mode: string(d.Mode), Quantile: d.Quantile, Most: d.MaxReservations,
		Longest: Duration{d.ReservationTTL}, Budget: d.IdleBudget, SmallWait: Duration{d.MaxJobDelay}, Large: d.LargeRuns}}
	*in.SSE = c.SSE
	text, err := os.ReadFile(path)
	if err == nil {
		err = c.decode(text, &in, func() error {
			c.SSE, c.SRV, c.Trace, c.Coordinators = *in.SSE, in.Source.SRV, in.Log.Trace, in.Keepers
			if err := c.checkKeepers(); err != nil {
				return err
			}
			if err := c.holdRoom(in.Room); err != nil {
				return err
			}
			return c.checkOperator()
		})
	} else if errors.Is(err, fs.ErrNotExist) {
		err = nil
	}
	if err != nil {
		return fmt.Errorf("%s:%w", path, err)
	}
	return c.loadOldSSE(filepath.Join(filepath.Dir(path), oldSSE), hasSection(text, "sse"))
}

func (c *Config) checkKeepers() error {
	k := &c.Coordinators
	if len(k.Addresses) == 0 {
		return nil
	}
	if k.Fleet == "" {
		return wrong("keepers.fleet", "missing; expected the name in the keepers' files")
	}
	for i, a := range k.Addresses {
		if err := address("address", a); err != nil {
			return wrong(fmt.Sprintf("keepers.addresses[%d]", i), "%q; expected host:port", a)
		}
	}
	if k.OnLeaseLoss == "" {
		k.OnLeaseLoss = "refuse"
	}
	if k.OnLeaseLoss != "refuse" && k.OnLeaseLoss != "last" {
		return wrong("keepers.fence", "%q; expected \"refuse\" or \"last\", as in the keepers' files", k.OnLeaseLoss)
	}
	return nil
}

func (c *Config) loadOldSSE(path string, replaced bool) error {
	text, err := os.ReadFile(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil
	case err != nil:
		return err
	case replaced:
		c.Notices = append(c.Notices, path+": not read: the operator's file has [sse]")
		return nil
	}
	s := defaultSSE()
	err = c.decode(text, &s, func() error {
		c.SSE = s
		return c.ValidateSSE("")
	})
	if err != nil {
		return fmt.Errorf("%s:%w", path, err)
	}
	c.Notices = append(c.Notices, path+": still read; its keys belong under [sse] in yardflow.toml, [[contract]] as [[sse.contract]]")
	return nil
}

// decode reads a file's text into to, then checks it. The error begins with the line.
func (c *Config) decode(text []byte, to any, check func() error) error {
	lines := IndexKeys(text)
	in := toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields()
	err := in.Decode(to)
	var strict *toml.StrictMissingError
	var one *toml.DecodeError
	switch {
	case errors.As(err, &strict):
		line, _ := strict.Errors[0].Position()
		return fmt.Errorf("%d: %s: unknown key", line, strings.Join(strict.Errors[0].Key(), "."))
	case errors.As(err, &one):
		line, _ := one.Position()
		key := strings.Join(one.Key(), ".")
		if key == "" {
			key = lines.at(line)
		}
		return fmt.Errorf("%d: %s: %s", line, key, strings.TrimPrefix(one.Error(), "toml: "))
	case err != nil:
		return fmt.Errorf(" %w", err)
	}
	err = check()
	var f *fault
	if errors.As(err, &f) {
		return fmt.Errorf("%d: %w", lines.Line(f.key), err)
	}
	if err != nil {
		return fmt.Errorf(" %w", err)
	}
	return nil
}

// keyLine is where a key stands.
type keyLine struct {
	key  string
	line int
}

// KeyIndex finds the lines of a file's keys.
type KeyIndex []keyLine

// IndexKeys finds the line of every key. Tables of a list count from 0.
func IndexKeys(text []byte) (out KeyIndex) {
	var p unstable.Parser
	p.Reset(text)
	prefix, lists := "", map[string]int{}
	for p.NextExpression() {
		e := p.Expression()
		var parts []string
		line := 0
		for it := e.Key(); it.Next(); {
			parts = append(parts, string(it.Node().Data))
			line = p.Shape(it.Node().Raw).Start.Line
		}
		key := strings.Join(parts, ".")
		switch e.Kind {
		case unstable.ArrayTable:
			prefix = fmt.Sprintf("%s[%d]", key, lists[key])
			lists[key]++
			key = prefix
		case unstable.Table:
			prefix = key
		case unstable.KeyValue:
			if prefix != "" {
				key = prefix + "." + key
			}
		}
		out = append(out, keyLine{key, line})
	}
	return out
}

// Line is a key's line, or that of the innermost table around it that is there.
func (x KeyIndex) Line(key string) int {
	for key != "" {
		for _, k := range x {
			if k.key == key {
				return k.line
			}
		}
		key = key[:max(strings.LastIndexAny(key, ".["), 0)]
	}
	return 1
}

// Has tells whether a key is there.
func (x KeyIndex) Has(key string) bool {
	return slices.ContainsFunc(x, func(k keyLine) bool { return k.key == key })
}

// at is the last key that begins on a line or before it.
func (x KeyIndex) at(line int) (key string) {
	for _, k := range x {
		if k.line <= line {
			key = k.key
		}
	}
	return key
}

func hasSection(text []byte, name string) bool {
	for _, k := range IndexKeys(text) {
		if k.key == name || strings.HasPrefix(k.key, name+".") || strings.HasPrefix(k.key, name+"[") {
			return true
		}
	}
	return false
}

// soundName tells whether a source may be called so: it stands in one-line answers.
func soundName(s string) bool {
	return s != "" && len(s) <= 63 && strings.Trim(s, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-") == ""
}

// checkOperator checks the whole file, and fills in what is left out.
func (c *Config) checkOperator() error {
	if err := c.ValidateSSE("sse."); err != nil {
		return err
	}
	m := &c.Membership
	switch r := membership.MergeRule(m.Rule); {
	case r != membership.RuleRosterVetoes && r != membership.RuleAny && r != membership.RuleAll:
		return wrong("membership.rule", "%q; expected %q, %q or %q", m.Rule, membership.RuleRosterVetoes, membership.RuleAny, membership.RuleAll)
	case m.FailureThreshold < 1 || m.FailureThreshold > 100:
		return wrong("membership.fail_after", "%d; expected 1 to 100 connects", m.FailureThreshold)
	case m.FailbackDelay.Duration < 0 || m.FailbackDelay.Duration > time.Hour:
		return wrong("membership.backup_settle", "%v; expected 0s to 1h", m.FailbackDelay)
	// With a drain's word underway for so long, 500 ms must still hold.
	case m.PublishInterval.Duration < 10*time.Millisecond || m.PublishInterval.Duration > 400*time.Millisecond:
		return wrong("membership.tell_every", "%v; expected 10ms to 400ms", m.PublishInterval)
	}
	seen := map[string]bool{membership.RosterSource: true}
	for i := range c.SRV {
		if err := c.checkSRV(&c.SRV[i], fmt.Sprintf("source.srv[%d].", i), seen); err != nil {
			return err
		}
	}
	return nil
}

// holdRoom checks [room], on or off, and hands it to the module where it is on.
func (c *Config) holdRoom(in Backfill) error {
	s := backfill.Settings{Mode: backfill.Mode(in.Mode), Quantile: in.Quantile, MaxReservations: in.Most, ReservationTTL: in.Longest.Duration,
		IdleBudget: in.Budget, MaxJobDelay: in.SmallWait.Duration, LargeRuns: in.Large}
	if err := s.Validate(); err != nil {
		key, what, _ := strings.Cut(err.Error(), ": ")
		return wrong("room."+key, "%s", what)
	}
	if in.Enabled {
		c.Dispatch.Backfill = &s
	}
	return nil
}

func orDefault(d *Duration, v time.Duration) {
	if d.Duration == 0 {
		d.Duration = v
	}
}

func (c *Config) checkSRV(s *SRV, at string, seen map[string]bool) error {
	orDefault(&s.Timeout, 400*time.Millisecond)
	orDefault(&s.MinTTL, time.Second)
	orDefault(&s.MaxTTL, time.Hour)
	orDefault(&s.StaleTTL, time.Hour)
	orDefault(&s.ShrinkHoldTime, 30*time.Second)
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
	span := func(key string, d Duration, least, most time.Duration) error {
		if d.Duration < least || d.Duration > most {
			return wrong(at+key, "%v; expected %v to %v", d, least, most)
		}
		return nil
	}
	name, valid := dns.IsDomainName(s.Service)
	switch {
	case !soundName(s.Name):
		return wrong(at+"name", "%q; expected letters, digits, '.', '_' or '-', 63 at most", s.Name)
	case seen[s.Name]:
		return wrong(at+"name", "%q is another source's name already", s.Name)
	case !valid || name < 2 || !strings.HasPrefix(s.Service, "_"):
		return wrong(at+"service", "%q; expected a full name such as _loans._tcp.example.cz", s.Service)
	case len(s.Servers) == 0:
		return wrong(at+"servers", "missing; expected at least one address such as 10.0.0.53:53")
	case len(c.Zones) > 0 && !slices.Contains(c.Zones, s.Zone):
		return wrong(at+"zone", "%q; expected one of %q", s.Zone, c.Zones)
	case len(c.Kinds) > 0 && !slices.Contains(c.Kinds, s.Kind):
		return wrong(at+"kind", "%q; expected one of %q", s.Kind, c.Kinds)
	case s.Identity != string(membership.ByHostPort) && s.Identity != string(membership.ByLabel):
		return wrong(at+"identity", "%q; expected %q or %q", s.Identity, membership.ByHostPort, membership.ByLabel)
	case families[s.Addresses] == nil:
		return wrong(at+"addresses", "%q; expected \"any\", \"ipv4\" or \"ipv6\"", s.Addresses)
	case s.AfterStale != "drain" && s.AfterStale != "keep":
		return wrong(at+"after_stale", "%q; expected \"drain\" or \"keep\"", s.AfterStale)
	case *s.ShrinkThreshold <= 0 || *s.ShrinkThreshold > 1:
		return wrong(at+"shrink_part", "%v; expected over 0 and up to 1", *s.ShrinkThreshold)
	case s.MaxRecords < 1 || s.MaxRecords > 1<<16:
		return wrong(at+"max_records", "%d; expected 1 to 65536", s.MaxRecords)
	}
	seen[s.Name] = true
	for i, text := range s.Servers {
		if a, err := netip.ParseAddrPort(text); err != nil || a.Port() == 0 {
			return wrong(at+"servers", "[%d] is %q; expected an IP address and a port such as 10.0.0.53:53", i, text)
		}
	}
	return errors.Join(span("timeout", s.Timeout, 10*time.Millisecond, 10*time.Second), span("floor", s.MinTTL, 100*time.Millisecond, time.Hour),
		span("ceiling", s.MaxTTL, s.MinTTL.Duration, 7*24*time.Hour), span("stale", s.StaleTTL, 0, 7*24*time.Hour),
		span("shrink_hold", s.ShrinkHoldTime, 0, time.Hour))
}

var families = map[string][]uint16{"any": {dns.TypeA, dns.TypeAAAA}, "ipv4": {dns.TypeA}, "ipv6": {dns.TypeAAAA}}

// ResolverConfig is the source as its resolver is told of it.
func (s *SRV) ResolverConfig() srv.Config {
	out := srv.Config{Service: dns.Fqdn(s.Service), Timeout: s.Timeout.Duration, MinTTL: s.MinTTL.Duration, MaxTTL: s.MaxTTL.Duration,
		StaleTTL: s.StaleTTL.Duration, AddressTypes: families[s.Addresses], MaxRecords: s.MaxRecords}
	for _, text := range s.Servers {
		out.Servers = append(out.Servers, netip.MustParseAddrPort(text))
	}
	return out
}

// MembershipConfig is the whole of the settings of the merged list: the roster first, then
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
