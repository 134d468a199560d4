package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const fileWithSource = `
[membership]
rule = "any"

[[source.srv]]
name = "loans"
service = "_loans._tcp.shop.test"
servers = ["127.0.0.1:53"]
zone = "praha-holesovice"
kind = "dual-fast"
`

// Every error names line and key, and what was expected.
func TestOperatorFileErrorsNameLineAndKey(t *testing.T) {
	if c, err := loadEdited(t, [2]string{}, fileWithSource, nil); err != nil || len(c.SRV) != 1 || c.SRV[0].ResolverConfig().Service != "_loans._tcp.shop.test." {
		t.Fatal(err)
	}
	for want, edit := range map[string][2]string{
		`:3: membership.rule: "most"; expected`:                 {`"any"`, `"most"`},
		`:3: membership.rule`:                                   {`"any"`, `3`},
		`:4: membership.fail_after: 0; expected 1`:              {"\n\n[[", "\nfail_after = 0\n[["},
		`:4: membership.tell_every: 1s; expected 10ms to 400ms`: {"\n\n[[", "\ntell_every = \"1s\"\n[["},
		`:4: membership.tell_often: unknown key`:                {"\n\n[[", "\ntell_often = true\n[["},
		`:6: source.srv[0].name: "a b"`:                         {`"loans"`, `"a b"`},
		`:6: source.srv[0].name: "roster" is another`:           {`"loans"`, `"roster"`},
		`:7: source.srv[0].service: "loans"; expected`:          {`"_loans._tcp.shop.test"`, `"loans"`},
		`:8: source.srv[0].servers: [0] is "dns.test:53"`:       {`127.0.0.1:53`, `dns.test:53`},
		`:5: source.srv[0].servers: missing`:                    {`servers = ["127.0.0.1:53"]`, ``},
		`:9: source.srv[0].zone: "x"; expected one of`:          {`"praha-holesovice"`, `"x"`},
		`:10: source.srv[0].kind: "x"; expected one of`:         {`"dual-fast"`, `"x"`},
		`:11: source.srv[0].identity: "face"; expected`:         {"fast\"\n", "fast\"\nidentity = \"face\"\n"},
		`:11: source.srv[0].shrink_part: 0; expected over 0`:    {"fast\"\n", "fast\"\nshrink_part = 0.0\n"},
		`:11: source.srv[0].floor: 1ms; expected 100ms to 1h`:   {"fast\"\n", "fast\"\nfloor = \"1ms\"\n"},
		`:11: source.srv.stale: `:                               {"fast\"\n", "fast\"\nstale = \"soon\"\n"},
		`:12: `:                                                 {"fast\"\n", "fast\"\nstale = \"1s\"\nstale = \"2s\"\n"},
		`:11: `:                                                 {"fast\"\n", "fast\"\nstale = \n"},
	} {
		_, err := loadEdited(t, [2]string{}, strings.Replace(fileWithSource, edit[0], edit[1], 1), nil)
		if err == nil || !strings.Contains(err.Error(), "yardflow.toml"+want) {
			t.Errorf("%v: got %v, want %q in it", edit, err, want)
		}
	}
	for want, line := range map[string]string{":2: room.budget: 0.9 is not over 0": "budget = 0.9", ":2: room.mode: \"x\" is neither": "mode = \"x\"", ":2: room.rooms: unknown key": "rooms = 1"} {
		if _, err := loadEdited(t, [2]string{}, "[room]\n"+line+"\n", nil); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got %v", line, err)
		}
	}
	if c, err := loadEdited(t, [2]string{}, "[room]\nenabled = true\nmost = 3\n", nil); err != nil || c.Dispatch.Backfill == nil || c.Dispatch.Backfill.MaxReservations != 3 {
		t.Error(err)
	}
	if c, err := loadEdited(t, [2]string{}, "[room]\nmost = 3\n", nil); err != nil || c.Dispatch.Backfill != nil {
		t.Error("slots are reserved though the section is not enabled", err)
	}
	two := fileWithSource + fileWithSource[strings.Index(fileWithSource, "[[source"):]
	if _, err := loadEdited(t, [2]string{}, two, nil); err == nil || !strings.Contains(err.Error(), `:12: source.srv[1].name: "loans" is another source's name`) {
		t.Error(err)
	}
}

// The second front's legacy file counts where the operator's has no such section;
// with one it is not read. A notice says which.
func TestLegacySSEFile(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	read := func() (*Config, error) {
		c := &Config{Classes: []string{"issue-loan"}, Tenants: []string{"univ-vltava"}}
		return c, c.loadOperator(filepath.Join(dir, "yardflow.toml"))
	}
	old := strings.ReplaceAll(strings.Replace(sseFileWithContract, "[sse]\n", "", 1), "sse.contract", "contract")
	write("sse.toml", old)
	if c, err := read(); err != nil || !c.SSE.Enabled || len(c.SSE.Contracts) != 1 || len(c.Notices) != 1 || !strings.Contains(c.Notices[0], "still read") {
		t.Error(err, c.SSE, c.Notices)
	}
	write("sse.toml", strings.Replace(old, "burst = 1", "burst = 0", 1))
	if _, err := read(); err == nil || !strings.Contains(err.Error(), "sse.toml:8: contract[0].burst") {
		t.Error(err)
	}
	write("yardflow.toml", "[sse]\nenabled = false\n")
	if c, err := read(); err != nil || c.SSE.Enabled || len(c.Notices) != 1 || !strings.Contains(c.Notices[0], "not read") {
		t.Error(err, c.SSE, c.Notices)
	}
}

// An installation with a list in DNS needs no discovery.
func TestListInDNSReplacesDiscovery(t *testing.T) {
	without := [2]string{`"discovery":"127.0.0.1:8500",`, ``}
	if _, err := loadEdited(t, without, "", nil); err == nil || err.Error() != "NODE_DISCOVERY: missing" {
		t.Error(err)
	}
	if c, err := loadEdited(t, without, fileWithSource, nil); err != nil || c.Dispatch.List.MustSubscribe {
		t.Error(err)
	}
}
