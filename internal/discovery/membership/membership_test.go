package membership

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// testConfig returns a configuration with a roster, a list of names matched by label and one
// matched by host:port.
func testConfig(rule MergeRule) Config {
	names := Source{StaleTTL: 60 * time.Second, ShrinkThreshold: 0.5, ShrinkHoldTime: 30 * time.Second, InferStart: true}
	byLabel, byAddr := names, names
	byLabel.Name, byLabel.Identity = "label", ByLabel
	byAddr.Name, byAddr.Identity = "addr", ByHostPort
	return Config{Rule: rule, FailureThreshold: 3, FailbackDelay: 10 * time.Second,
		Sources: []Source{{Name: RosterSource, Identity: ByID}, byLabel, byAddr}}
}

func newCatalog(t interface{ Fatal(...any) }, cfg Config) *Catalog {
	c, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// mustUpdate applies a report whose entries are all valid.
func mustUpdate(t interface{ Fatal(...any) }, c *Catalog, now time.Time, source string, complete bool, workers []Worker) {
	if err := c.Update(now, source, complete, workers); err != nil {
		t.Fatal(err)
	}
}

// updateIfConfigured applies a report. The update must fail if and only if the source is not configured.
func updateIfConfigured(t interface{ Fatal(...any) }, c *Catalog, now time.Time,
	source string, complete bool, workers []Worker) {
	if err := c.Update(now, source, complete, workers); (err != nil) != (c.byName[source] == nil) {
		t.Fatal(source, err)
	}
}

func serving(ids ...string) (out []Worker) {
	for _, id := range ids {
		out = append(out, Worker{ID: id, Addr: id + ":1"})
	}
	return out
}

// srvWorkers returns one worker per name x, with target x.z, address x:1 and a lifetime of 10 s from now on.
func srvWorkers(now time.Time, names ...string) (out []Worker) {
	for _, n := range names {
		out = append(out, Worker{Target: n + ".z", Addr: n + ":1", ExpiresAt: now.Add(10 * time.Second)})
	}
	return out
}

func formatList(l List) string {
	var out []string
	for _, e := range l.Entries {
		out = append(out, e.ID+" "+e.State.String())
	}
	return strings.Join(out, ", ")
}

// scenario applies reports to a catalog and checks the list after each.
type scenario struct {
	t       *testing.T
	catalog *Catalog
}

func (s scenario) wantList(sec float64, want string) List {
	s.t.Helper()
	l := s.catalog.Merge(at(sec))
	if got := formatList(l); got != want {
		s.t.Fatalf("at %v s: %s; want %s\n%+v", sec, got, want, l)
	}
	return l
}

func (s scenario) update(sec float64, source string, complete bool, w ...Worker) {
	s.t.Helper()
	if err := s.catalog.Update(at(sec), source, complete, w); err != nil {
		s.t.Fatal(err)
	}
}

func (s scenario) wantReason(sec float64, name, part string) {
	s.t.Helper()
	l := s.catalog.Merge(at(sec))
	if e, ok := l.Find(name); !ok || !strings.Contains(e.Reason, part) {
		s.t.Errorf("%s is listed as %+v; want %q as the reason", name, e, part)
	}
}

// A drain by the roster overrides a list of names whose entry is still valid or is reported
// again, until the roster itself reports the worker as serving, here with a later start.
func TestDrainOverridesNamesUntilItsSourceLiftsIt(t *testing.T) {
	for _, rule := range []MergeRule{RuleRosterVetoes, RuleAny} {
		s := scenario{t, newCatalog(t, testConfig(rule))}
		s.update(0, RosterSource, true, serving("a", "b")...)
		s.update(0, "label", true, srvWorkers(at(0), "a", "b", "c")...)
		s.wantList(0, "a serving, b serving, c serving")
		s.update(1, RosterSource, false, Worker{ID: "a", Addr: "a:1", State: Draining})
		s.wantList(1, "a draining, b serving, c serving")
		s.update(2, "label", true, srvWorkers(at(2), "a", "b", "c")...)
		s.wantList(2, "a draining, b serving, c serving")
		s.wantReason(2, "a", "roster: draining since 08:00:01")
		s.update(3, RosterSource, false, Worker{ID: "a", State: Removed}, Worker{ID: "b", State: Removed})
		s.update(4, "label", true, srvWorkers(at(4), "a", "b", "c")...)
		s.wantList(4, "a draining, b draining, c serving")
		s.wantReason(4, "a", "roster: gone since 08:00:03")
		s.update(5, RosterSource, false, Worker{ID: "a", Addr: "a:1", StartedAt: at(4.5)})
		l := s.wantList(5, "a serving, b draining, c serving")
		if e, _ := l.Find("a"); !e.StartedAt.Equal(at(4.5)) {
			t.Error("unexpected start time of a:", e.StartedAt)
		}
		s.update(6, RosterSource, true) // absent from a complete list: removed
		s.wantList(6, "a draining, b draining, c serving")
	}
}

// An entry identified by host:port takes the roster's id for its address, so a removal by the
// roster applies to it.
func TestIdentityByHostPort(t *testing.T) {
	s := scenario{t, newCatalog(t, testConfig(RuleRosterVetoes))}
	s.update(0, "addr", true, srvWorkers(at(0), "x", "y")...)
	s.wantList(0, "x:1 serving, y:1 serving")
	s.update(1, RosterSource, true, Worker{ID: "s-1", Addr: "x:1"})
	s.wantList(1, "s-1 serving, y:1 serving")
	s.update(2, RosterSource, false, Worker{ID: "s-1", State: Removed}) // without the address
	s.wantList(2, "s-1 draining, y:1 serving")
	s.update(3, "addr", true, srvWorkers(at(3), "x", "y")...)
	s.wantList(3, "s-1 draining, y:1 serving")
	s.update(4, RosterSource, false, Worker{ID: "s-2", Addr: "x:1"}) // another worker has the address now
	s.wantList(4, "s-2 serving, y:1 serving")
	s.catalog.SetBanned([]string{"x:1", "y.z"}) // a ban may give any of the names
	s.wantList(4, "s-2 draining, y:1 draining")
	s.wantReason(4, "y:1", "operator: called out")
}

// A worker that two sources report at different addresses is listed once. Two workers that claim
// one id are a fault, and the first to claim it keeps it until it leaves.
func TestOneIDIsOneWorker(t *testing.T) {
	s := scenario{t, newCatalog(t, testConfig(RuleRosterVetoes))}
	s.update(0, RosterSource, true, Worker{ID: "a", Addr: "net1:1"})
	s.update(0, "label", true, Worker{Target: "a.z", Addr: "net2:1"})
	if l := s.wantList(0, "a serving"); l.Entries[0].Addr != "net1:1" || len(l.Faults) > 0 {
		t.Errorf("unexpected list: %+v", l)
	}
	s.update(1, RosterSource, true)
	s.update(1, "addr", true, Worker{Target: "a.z", Addr: "net2:1"}) // the address is also in the list matched by label
	if l := s.wantList(1, "a draining"); len(l.Faults) > 0 {
		t.Errorf("unexpected list: %+v", l)
	}
	cfg := testConfig(RuleRosterVetoes)
	cfg.Sources = append(cfg.Sources, Source{Name: "label2", Identity: ByLabel})
	s.catalog = newCatalog(t, cfg)
	s.update(0, "label", true, srvWorkers(at(0), "a")...)
	s.update(1, "label2", true, Worker{Target: "a.other", Addr: "elsewhere:1"}, Worker{Target: "b.other", Addr: "b:1"})
	l := s.wantList(1, "a serving, b serving")
	if e, _ := l.Find("a"); e.Addr != "a:1" || len(l.Faults) != 1 ||
		!strings.Contains(l.Faults[0], "a.other at elsewhere:1 (label2) claims it beside a.z at a:1 (label)") {
		t.Errorf("unexpected list: %+v", l)
	}
	// The only worker of the list, a, is missing, and so is retained.
	s.update(2, "label", true, Worker{Target: "c.z", Addr: "c:1"}, Worker{Target: "d.z", Addr: "d:1"})
	l = s.wantList(2, "a serving, b serving, c serving, d serving")
	l = s.wantList(33, "a serving, b serving, c serving, d serving")
	if e, _ := l.Find("a"); e.Addr != "elsewhere:1" || len(l.Faults) > 0 {
		t.Errorf("unexpected list: %+v", l)
	}
	// An entry whose label contradicts the roster's id for its address is not listed.
	s.update(34, RosterSource, true, Worker{ID: "r", Addr: "c:1"})
	if l = s.wantList(34, "a serving, b serving, d serving, r serving"); len(l.Faults) != 1 {
		t.Error(l.Faults)
	}
}

// While the resolver does not respond, names stay valid past their lifetime for StaleTTL, and
// do not count as restarted once they are reported again. A name that is new in a later list,
// or that has a new address, counts as started.
func TestStaleEntriesAndInferredStarts(t *testing.T) {
	for _, keep := range []bool{false, true} {
		cfg := testConfig(RuleRosterVetoes)
		cfg.Sources[1].KeepStale = keep
		s := scenario{t, newCatalog(t, cfg)}
		s.update(0, RosterSource, true, serving("a")...)
		s.update(0, "label", true, srvWorkers(at(0), "a", "b")...)
		s.catalog.SetUnresponsive(at(9), "label", true)
		if l := s.wantList(22, "a serving, b serving"); !l.NextChange.Equal(at(70)) {
			t.Error("unexpected NextChange:", l.NextChange)
		}
		s.wantReason(22, "b", "label: lapsed 12s ago, kept: resolver silent")
		s.update(30, RosterSource, false, Worker{ID: "a", State: Draining}) // the roster's drain still takes precedence
		s.wantList(30, "a draining, b serving")
		wantExpired := map[bool]string{false: "a draining, b draining", true: "a draining, b serving"}[keep]
		s.wantList(71, wantExpired)
		s.update(80, "label", true, srvWorkers(at(80), "a", "b", "c")...)
		l := s.wantList(80, "a draining, b serving, c serving")
		for name, want := range map[string]time.Time{"b": {}, "c": at(80)} {
			if e, _ := l.Find(name); !e.StartedAt.Equal(want) {
				t.Errorf("%s started %v, want %v", name, e.StartedAt, want)
			}
		}
		s.update(81, "label", true, Worker{Target: "b.z", Addr: "b2:1"},
			srvWorkers(at(81), "c")[0], srvWorkers(at(81), "a")[0])
		if e, _ := s.wantList(81, "a draining, b serving, c serving").Find("b"); e.Addr != "b2:1" ||
			!e.StartedAt.Equal(at(81)) {
			t.Errorf("unexpected entry of b: %+v", e)
		}
	}
}

// If a list of names shrinks too much at once, its missing workers are retained while they
// answer connects. Workers missing from the roster are never retained.
func TestWorkersMissingAfterSuddenShrinkAreRetained(t *testing.T) {
	s := scenario{t, newCatalog(t, testConfig(RuleRosterVetoes))}
	s.update(0, RosterSource, true, serving("a")...)
	s.update(0, "label", true, srvWorkers(at(0), "a", "b", "c", "d")...)
	s.update(1, "label", true, srvWorkers(at(1), "a", "b", "c")...) // a quarter is missing: removed at once
	s.wantList(1, "a serving, b serving, c serving")
	s.update(2, "label", true) // all are missing: retained
	if l := s.wantList(2, "a serving, b serving, c serving"); !l.NextChange.Equal(at(32)) {
		t.Error("unexpected NextChange:", l.NextChange)
	}
	s.wantReason(2, "b", "held")
	for range 3 {
		s.catalog.ObserveConnect(at(2.5), "b", false)
	}
	s.wantList(3, "a serving, c serving") // b no longer answers
	s.update(4, RosterSource, false, Worker{ID: "a", State: Removed})
	s.wantList(4, "a draining, c serving")
	s.update(10, "label", true) // still empty: the hold time is not extended
	s.wantList(31, "a draining, c serving")
	s.wantList(32, "")
	s.update(33, "label", true, srvWorkers(at(33), "c")...)
	s.wantList(33, "c serving")
	s.update(34, "label", true)
	s.update(35, "label", true, srvWorkers(at(35), "c")...) // the zone file is repaired: not a new start
	if e, _ := s.wantList(70, "c serving").Find("c"); !e.StartedAt.Equal(at(33)) {
		t.Error("unexpected start time of c:", e.StartedAt)
	}
}

// Workers of a worse priority serve only while no better priority can, and for FailbackDelay
// after that. A worker that fails connects stays listed, so that it can recover.
func TestPriorities(t *testing.T) {
	s := scenario{t, newCatalog(t, testConfig(RuleRosterVetoes))}
	list := srvWorkers(at(0), "a", "b", "c")
	list[2].Priority = 1
	s.update(0, "label", true, list...)
	s.wantList(0, "a serving, b serving, c draining")
	s.wantReason(0, "c", "standby: priority 1")
	for _, id := range []string{"a", "b"} {
		for range 3 {
			s.catalog.ObserveConnect(at(0.5), id, false)
		}
	}
	s.wantList(1, "a serving, b serving, c serving")
	if !s.catalog.ObserveConnect(at(2), "b", true) {
		t.Error("ObserveConnect reports no change after b answers again")
	}
	if l := s.wantList(2, "a serving, b serving, c serving"); !l.NextChange.Equal(at(10)) && !l.NextChange.Equal(at(12)) {
		t.Error("unexpected NextChange:", l.NextChange)
	}
	s.wantList(12, "a serving, b serving, c draining")
	// One failed connect without an answer for UnreachableAfter is enough; an answer ends it.
	s.catalog.ObserveConnect(at(13), "b", false)
	if l := s.wantList(13.9, "a serving, b serving, c draining"); !l.NextChange.Equal(at(14)) {
		t.Error("unexpected NextChange:", l.NextChange)
	}
	s.wantList(14, "a serving, b serving, c serving")
	s.catalog.ObserveConnect(at(15), "b", true)
	s.wantList(15, "a serving, b serving, c serving")
	s.wantList(25, "a serving, b serving, c draining")
	s.catalog.SetBanned([]string{"a", "b"}) // banned workers cannot serve
	s.wantList(26, "a draining, b draining, c serving")
}

// Under RuleAll a worker is listed as serving only if every source that has reported names it.
func TestRuleAll(t *testing.T) {
	s := scenario{t, newCatalog(t, testConfig(RuleAll))}
	s.update(0, RosterSource, true, serving("a", "b")...)
	s.wantList(0, "a serving, b serving") // no other source has reported anything
	s.update(1, "label", true, srvWorkers(at(1), "a", "c")...)
	s.wantList(1, "a serving, b draining, c draining")
	s.wantReason(1, "c", "roster: does not name it")
}

func TestInvalidInputIsRejected(t *testing.T) {
	for want, invalidate := range map[string]func(*Config){
		"rule":                 func(c *Config) { c.Rule = "most" },
		"fail_after":           func(c *Config) { c.FailureThreshold = 0 },
		"backup_settle":        func(c *Config) { c.FailbackDelay = -1 },
		"configured twice":     func(c *Config) { c.Sources[2].Name = "label" },
		"has no name":          func(c *Config) { c.Sources[2].Name = "" },
		"identity":             func(c *Config) { c.Sources[2].Identity = "face" },
		"must not be negative": func(c *Config) { c.Sources[1].StaleTTL = -1 },
		"shrink_part":          func(c *Config) { c.Sources[1].ShrinkThreshold = 2 },
	} {
		cfg := testConfig(RuleAny)
		invalidate(&cfg)
		if _, err := New(cfg); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want one that contains %q", err, want)
		}
	}
	c := newCatalog(t, testConfig(RuleAny))
	if err := c.Update(start, "unknown", true, nil); err == nil {
		t.Error("Update accepts a report of an unknown source")
	}
	if err := c.Update(start, RosterSource, true, []Worker{{Addr: "x:1"}, {ID: "a", Addr: "a:1"}}); err == nil ||
		formatList(c.Merge(start)) != "a serving" {
		t.Error(err, formatList(c.Merge(start)))
	}
	if err := c.Restore([]byte(`{"roster":{"records":[null]}}`)); err == nil {
		t.Error("Restore accepts an invalid snapshot")
	}
}

// The number of tombstones is bounded, and tombstones of workers that another source names are kept.
func TestTombstonesAreBounded(t *testing.T) {
	c := newCatalog(t, testConfig(RuleRosterVetoes))
	mustUpdate(t, c, start, RosterSource, true, serving("kept"))
	mustUpdate(t, c, start, "label", true, srvWorkers(start, "kept"))
	mustUpdate(t, c, start, RosterSource, true, nil)
	for i := range maxTombstones + 100 {
		id := fmt.Sprint("w", i)
		mustUpdate(t, c, at(float64(i)), RosterSource, false, serving(id))
		mustUpdate(t, c, at(float64(i)), RosterSource, false, []Worker{{ID: id, State: Removed}})
	}
	if n := len(c.byName[RosterSource].records); n > maxTombstones || n != c.byName[RosterSource].tombstones {
		t.Errorf("the roster has %d records, and counts %d tombstones", n, c.byName[RosterSource].tombstones)
	}
	mustUpdate(t, c, at(1e5), "label", true, srvWorkers(at(1e5), "kept"))
	if got := formatList(c.Merge(at(1e5))); got != "kept draining" {
		t.Error(got)
	}
}

// report is one event of a source, the operator or a connect. It is applied to two instances of Catalog, which must agree.
type report struct {
	source string // events of one source keep their order; "operator" for bans, "answers" for connects
	apply  func(*Catalog)
}

// With random interleavings of reports, drains, bans, expiries, reloads and upgrades, a vetoed or
// banned worker is never listed as serving, no id is listed twice, and the list does not depend on
// the order in which reports of equal time arrive from different sources.
func TestVetoedWorkerIsNeverServing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rule := rapid.SampledFrom([]MergeRule{RuleRosterVetoes, RuleAny, RuleAll}).Draw(t, "rule")
		cfg := testConfig(rule)
		cfg.Sources[1].KeepStale = rapid.Bool().Draw(t, "keep")
		ordered, reordered := newCatalog(t, cfg), newCatalog(t, cfg)
		hosts := []string{"a", "b", "c", "d"}
		// The expected states, tracked independently of the catalog: the roster's last report by id.
		rosterStates, banned := map[string]State{}, map[string]bool{}
		now := start
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 5, 11, 40, 90}).Draw(t, "seconds")) * time.Second)
			var reports []report
			for range rapid.IntRange(1, 5).Draw(t, "reports") {
				source := rapid.SampledFrom([]string{RosterSource, "label", "addr", "operator", "answers"}).Draw(t, "source")
				names := rapid.SliceOfNDistinct(rapid.SampledFrom(hosts), 0, 4, rapid.ID).Draw(t, "names")
				switch source {
				case RosterSource:
					complete := rapid.Bool().Draw(t, "complete")
					var list []Worker
					if complete {
						for id := range rosterStates {
							rosterStates[id] = Removed
						}
					}
					for _, id := range names {
						w := Worker{ID: id, Addr: id + ":1", State: State(rapid.IntRange(0, 2).Draw(t, "state"))}
						if w.State != Removed || !complete {
							rosterStates[id] = w.State
							list = append(list, w)
						}
					}
					reports = append(reports, report{source,
						func(c *Catalog) { updateIfConfigured(t, c, now, RosterSource, complete, list) }})
				case "operator":
					clear(banned)
					for _, id := range names {
						banned[id] = true
					}
					reports = append(reports, report{source, func(c *Catalog) { c.SetBanned(names) }})
				case "answers":
					id, ok := rapid.SampledFrom(hosts).Draw(t, "id"), rapid.Bool().Draw(t, "answered")
					reports = append(reports, report{source, func(c *Catalog) { c.ObserveConnect(now, id, ok) }})
				default:
					if rapid.IntRange(0, 4).Draw(t, "unresponsive") == 0 {
						reports = append(reports, report{source, func(c *Catalog) { c.SetUnresponsive(now, source, true) }})
						continue
					}
					list := srvWorkers(now, names...)
					for i := range list {
						list[i].Priority = rapid.IntRange(0, 1).Draw(t, "priority")
					}
					reports = append(reports, report{source,
						func(c *Catalog) { updateIfConfigured(t, c, now, source, true, list) }})
				}
			}
			for _, r := range reports {
				r.apply(ordered)
			}
			// The other catalog gets the reports of the sources in another order; reports of one source keep theirs.
			order := rapid.Permutation([]string{RosterSource, "label", "addr", "operator", "answers"}).Draw(t, "order")
			slices.SortStableFunc(reports,
				func(x, y report) int { return slices.Index(order, x.source) - slices.Index(order, y.source) })
			for _, r := range reports {
				r.apply(reordered)
			}
			l := ordered.Merge(now)
			if diff := cmp.Diff(l, reordered.Merge(now), cmp.AllowUnexported(Entry{})); diff != "" {
				t.Fatalf("the list depends on the order of reports:\n%s", diff)
			}
			seen := map[string]bool{}
			for _, e := range l.Entries {
				host, _, _ := strings.Cut(e.Addr, ":")
				if seen[e.ID] {
					t.Fatalf("%s is listed twice", e.ID)
				}
				seen[e.ID] = true
				if e.State != Serving {
					continue
				}
				if state, ok := rosterStates[host]; ok && state != Serving {
					t.Fatalf("%s is listed as serving, but the roster reports %s: %s", e.ID, state, e.Reason)
				}
				if banned[e.ID] {
					t.Fatalf("%s is listed as serving, but is banned", e.ID)
				}
			}
			switch rapid.IntRange(0, 5).Draw(t, "next event") {
			case 0: // a reload: another rule, and a source that may be removed or return
				cfg = testConfig(rapid.SampledFrom([]MergeRule{RuleRosterVetoes, RuleAny, RuleAll}).Draw(t, "new rule"))
				if rapid.Bool().Draw(t, "remove a source") {
					cfg.Sources = cfg.Sources[:2]
				}
				for _, c := range []*Catalog{ordered, reordered} {
					if err := c.Configure(cfg); err != nil {
						t.Fatal(err)
					}
				}
			case 1: // an upgrade: the successor restores the snapshot
				text, err := ordered.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				next := newCatalog(t, cfg)
				if err := next.Restore(text); err != nil {
					t.Fatal(err)
				}
				var bans []string
				for id := range banned {
					bans = append(bans, id)
				}
				next.SetBanned(bans)
				// Connect failures and priority levels are not in the snapshot.
				next.connectFailures, next.priorityLevels = ordered.connectFailures, ordered.priorityLevels
				if diff := cmp.Diff(l, next.Merge(now), cmp.AllowUnexported(Entry{})); diff != "" {
					t.Fatalf("the list differs after the upgrade:\n%s", diff)
				}
				ordered = next
			}
		}
	})
}

func BenchmarkMerge2000(b *testing.B) {
	catalog := newCatalog(b, testConfig(RuleRosterVetoes))
	var list []Worker
	for i := range 2000 {
		list = append(list, srvWorkers(start, fmt.Sprint("w", i))...)
	}
	mustUpdate(b, catalog, start, "label", true, list)
	b.ReportAllocs()
	for b.Loop() {
		catalog.Merge(start)
	}
}
