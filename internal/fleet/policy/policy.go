// Package policy is the document that operators decide on and keepers put in force: which
// workers get nothing, how often a request may be tried, how the sources of workers are merged,
// how room is held, and what teams may ask for. It is read whole or not at all, every fault named
// by line and key with what was expected. It has no I/O, and must never apply anything: the
// dispatcher does.
package policy

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"yardflow/internal/fleet/coldstart"
	"yardflow/internal/fleet/coldstart/admission"
	"yardflow/internal/fleet/outlier"
	"yardflow/internal/fleet/quota"
	"yardflow/internal/fleet/workflow/pool"
	"yardflow/scheduling/backfill"
)

// form is the newest form of a document that this program knows; a build may be told less, to
// stand for an older program. A key is of the form that it came with: a document with it can't
// be run by a program that knows older ones alone.
var form = "5"

var forms = map[string]int{"ban": 1, "attempts": 1, "rule": 2, "room": 2, "contract": 2,
	"limit": 3, "dispatchers": 3, "settle": 3, "verdicts": 3, "start": 4, "flow": 5, "pool": 5}

// FormatVersion is the newest form that this program knows.
func FormatVersion() int {
	n, err := strconv.Atoi(form)
	if err != nil {
		return 0
	}
	return n
}

// Document is one policy. What it leaves out stays as the dispatchers' own files have it.
type Document struct {
	BannedWorkers []string      `toml:"ban,omitempty"`      // ids of workers that get nothing new, beside those taken out by hand
	MaxAttempts   int           `toml:"attempts,omitempty"` // at most so many for a request, where the settings allow more; 0: as they say
	MergeRule     string        `toml:"rule,omitempty"`     // by which the sources of workers are merged
	Reservations  *Reservations `toml:"room,omitempty"`     // held for large jobs
	Contracts     []Contract    `toml:"contract,omitempty"` // of the second front's teams, in the place of the files'

	// Limits of the whole fleet (package quota), for so many dispatchers; what one that vanished
	// had open may go on for Settle.
	Limits       []Limit  `toml:"limit,omitempty"`
	Dispatchers  int      `toml:"dispatchers,omitempty"`
	ReclaimDelay Duration `toml:"settle,omitempty"`

	OutlierEjection *OutlierEjection `toml:"verdicts,omitempty"` // of the fleet on workers
	ColdStart       *ColdStart       `toml:"start,omitempty"`    // how a fleet starts cold

	Workflows []Workflow  `toml:"flow,omitempty"` // templates of workflows
	Pools     []pool.Pool `toml:"pool,omitempty"` // of workers, for their steps
}

// OutlierEjection are how workers are judged together; what is left out is as package verdict has it.
type OutlierEjection struct {
	Enabled           bool      `toml:"enabled"`
	MinReporters      int       `toml:"witnesses,omitempty"`
	MinFailures       int       `toml:"failures,omitempty"`
	HalfLife          Duration  `toml:"half_life,omitempty"`
	ObjectionWindow   *Duration `toml:"hearing,omitempty"`
	MaxEjectedShare   float64   `toml:"most,omitempty"`
	TrialInterval     Duration  `toml:"pace,omitempty"`
	TrialsToReinstate int       `toml:"pass,omitempty"`
}

// OutlierSettings is how workers are judged; nil: they are not.
func (d *Document) OutlierSettings() *outlier.Settings {
	v := d.OutlierEjection
	if v == nil || !v.Enabled {
		return nil
	}
	s := outlier.DefaultSettings()
	orElse(&s.MinReporters, v.MinReporters)
	orElse(&s.MinFailures, v.MinFailures)
	orElse(&s.HalfLife, time.Duration(v.HalfLife))
	orElse(&s.MaxEjectedShare, v.MaxEjectedShare)
	orElse(&s.TrialInterval, time.Duration(v.TrialInterval))
	orElse(&s.TrialsToReinstate, v.TrialsToReinstate)
	if v.ObjectionWindow != nil {
		s.ObjectionWindow = time.Duration(*v.ObjectionWindow)
	}
	return &s
}

// ColdStart is how a fleet starts cold: in turns at the list service, by one list a zone.
type ColdStart struct {
	CallsPerSecond int      `toml:"calls"`           // a second that the list service is stated to take
	TokenWindow    Duration `toml:"use,omitempty"`   // a turn's length; "100ms" where nothing is said
	RelayList      *bool    `toml:"relay,omitempty"` // one dispatcher a zone reads for all; so where nothing is said
}

// ColdStartSettings is how a fleet starts cold; nil: each dispatcher by itself.
func (d *Document) ColdStartSettings() *coldstart.Settings {
	if d.ColdStart == nil {
		return nil
	}
	s := &coldstart.Settings{Settings: admission.Settings{CallsPerSecond: d.ColdStart.CallsPerSecond, TokenWindow: 100 * time.Millisecond}, RelayList: true}
	orElse(&s.TokenWindow, time.Duration(d.ColdStart.TokenWindow))
	if d.ColdStart.RelayList != nil {
		s.RelayList = *d.ColdStart.RelayList
	}
	return s
}

// Limit is one of the whole fleet.
type Limit struct {
	Name        string  `toml:"name"`
	Kind        string  `toml:"kind"`
	Team        string  `toml:"team,omitempty"`
	Tenant      string  `toml:"tenant,omitempty"`
	Class       string  `toml:"class,omitempty"`
	Amount      float64 `toml:"amount"`
	Burst       float64 `toml:"burst,omitempty"`
	RetryRatio  float64 `toml:"share,omitempty"`
	StaticShare float64 `toml:"static,omitempty"`
}

// QuotaLimits are the document's, as the keepers hand them out.
func (d *Document) QuotaLimits() (out []quota.Limit, err error) {
	var all []error
	names := map[string]bool{}
	settle := time.Duration(d.ReclaimDelay)
	if settle == 0 {
		settle = 10 * time.Second
	}
	if len(d.Limits) > maxLimits {
		return nil, fmt.Errorf("limit: %d of them; expected %d at most", len(d.Limits), maxLimits)
	}
	if len(d.Limits) > 0 && d.Dispatchers < 1 {
		all = append(all, errors.New("dispatchers: missing; expected how many there are, with every second process of an upgrade"))
	}
	for i, l := range d.Limits {
		kind, err := quota.ParseKind(l.Kind)
		if err != nil {
			all = append(all, fmt.Errorf("limit[%d].%w", i, err))
			continue
		}
		q := quota.Limit{Name: l.Name, Kind: kind, Team: l.Team, Tenant: l.Tenant, Class: l.Class, MaxHolders: int64(d.Dispatchers), ReclaimDelay: settle}
		for _, f := range []struct {
			to   *int64
			from float64
			key  string
		}{{&q.Amount, l.Amount, "amount"}, {&q.Burst, l.Burst, "burst"}, {&q.RetryRatio, l.RetryRatio, "share"}, {&q.StaticShare, l.StaticShare, "static"}} {
			if !(f.from >= 0 && f.from <= 1e6) {
				all = append(all, fmt.Errorf("limit[%d].%s: %v; expected 0 to 1000000", i, f.key, f.from))
				continue
			}
			*f.to = int64(math.Round(f.from * quota.Unit))
		}
		if err := q.Validate(); err != nil && d.Dispatchers > 0 {
			all = append(all, fmt.Errorf("limit[%d].%w", i, err))
		} else if names[l.Name] {
			all = append(all, fmt.Errorf("limit[%d].name: %q comes twice", i, l.Name))
		}
		names[l.Name] = true
		out = append(out, q)
	}
	return out, errors.Join(all...)
}

// Reservations is how room is held for large jobs; what is left out is as package room has it.
type Reservations struct {
	Enabled         bool      `toml:"enabled"`
	Mode            string    `toml:"mode,omitempty"`
	Quantile        float64   `toml:"quantile,omitempty"`
	MaxReservations int       `toml:"most,omitempty"`
	ReservationTTL  Duration  `toml:"longest,omitempty"`
	IdleBudget      float64   `toml:"budget,omitempty"`
	MaxJobDelay     *Duration `toml:"small_wait,omitempty"`
	LargeRuns       float64   `toml:"large,omitempty"`
}

// Contract is what one team may ask for at one dispatcher.
type Contract struct {
	Team    string   `toml:"team"`
	Tenant  string   `toml:"tenant"`
	Classes []string `toml:"classes"`
	Rate    float64  `toml:"rate"`     // requests a second
	Burst   int      `toml:"burst"`    // requests at once
	MaxOpen int      `toml:"max_open"` // requests unanswered at once
}

// Duration is a time written as text, such as "5s".
type Duration time.Duration

// UnmarshalText reads a Span.
func (s *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	*s = Duration(d)
	return err
}

// MarshalText words a Span.
func (s Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// Settings is the room that is to be held; nil: none.
func (r *Reservations) Settings() *backfill.Settings {
	if !r.Enabled {
		return nil
	}
	s := backfill.DefaultSettings()
	orElse(&s.Mode, backfill.Mode(r.Mode))
	orElse(&s.Quantile, r.Quantile)
	orElse(&s.MaxReservations, r.MaxReservations)
	orElse(&s.ReservationTTL, time.Duration(r.ReservationTTL))
	orElse(&s.IdleBudget, r.IdleBudget)
	orElse(&s.LargeRuns, r.LargeRuns)
	if r.MaxJobDelay != nil {
		s.MaxJobDelay = time.Duration(*r.MaxJobDelay)
	}
	return &s
}

func orElse[T comparable](to *T, v T) {
	if none := *new(T); v != none {
		*to = v
	}
}

const (
	maxBans   = 1000
	maxLimits = 20000
)

// Parse reads a document. The error joins all that is wrong with it.
func Parse(text []byte) (Document, error) {
	var d Document
	dec := toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		var strict *toml.StrictMissingError
		var broken *toml.DecodeError
		switch {
		case errors.As(err, &strict):
			var all []error
			for _, e := range strict.Errors {
				row, _ := e.Position()
				all = append(all, fmt.Errorf("%d: %s: unknown; expected one of %s", row, strings.Join(e.Key(), "."), strings.Join(slices.Sorted(maps.Keys(forms)), ", ")))
			}
			return Document{}, errors.Join(all...)
		case errors.As(err, &broken):
			row, _ := broken.Position()
			return Document{}, fmt.Errorf("%d: %s", row, broken.Error())
		}
		return Document{}, err
	}
	if err := d.check(string(text)); err != nil {
		return Document{}, err
	}
	slices.Sort(d.BannedWorkers)
	d.BannedWorkers = slices.Compact(d.BannedWorkers)
	return d, nil
}

func (d *Document) check(text string) error {
	var all []error
	wrong := func(format string, args ...any) { all = append(all, fmt.Errorf(format, args...)) }
	for key := range d.flat() {
		key, _, _ = strings.Cut(key, ".")
		key, _, _ = strings.Cut(key, "[")
		if forms[key] > FormatVersion() {
			wrong("%s: of form %d; this program knows form %d", key, forms[key], FormatVersion())
		}
	}
	if d.MaxAttempts < 0 || d.MaxAttempts > 100 {
		wrong("attempts: %d; expected 0 to 100", d.MaxAttempts)
	}
	if len(d.BannedWorkers) > maxBans {
		wrong("ban: %d ids; expected %d at most", len(d.BannedWorkers), maxBans)
	}
	for i, id := range d.BannedWorkers {
		if id == "" || strings.ContainsAny(id, " \n") {
			wrong("ban[%d]: %q; expected an id as discovery has it", i, id)
		}
	}
	if d.MergeRule != "" && !slices.Contains([]string{"roster-vetoes", "any", "all"}, d.MergeRule) {
		wrong("rule: %q; expected \"roster-vetoes\", \"any\" or \"all\"", d.MergeRule)
	}
	if d.Reservations != nil {
		if s := d.Reservations.Settings(); s != nil {
			if err := s.Validate(); err != nil {
				wrong("room.%w", err)
			}
		}
	}
	teams := map[string]bool{}
	for i, k := range d.Contracts {
		switch {
		case k.Team == "" || teams[k.Team]:
			wrong("contract[%d].team: %q; expected a name that no other contract has", i, k.Team)
		case len(k.Classes) == 0 || !(k.Rate > 0) || k.Burst < 1 || k.MaxOpen < 1:
			wrong("contract[%d]: expected classes, and rate, burst and max_open over 0", i)
		}
		teams[k.Team] = true
	}
	if _, err := d.QuotaLimits(); err != nil {
		all = append(all, err)
	}
	if _, err := d.flows(text); err != nil {
		all = append(all, err)
	}
	if s := d.OutlierSettings(); s != nil {
		if err := s.Validate(); err != nil {
			wrong("verdicts.%w", err)
		}
	}
	if s := d.ColdStartSettings(); s != nil {
		if err := s.Validate(); err != nil {
			wrong("start.%w", err)
		}
	}
	return errors.Join(all...)
}

// flat is the document by key, each with its value as text.
func (d Document) flat() map[string]string {
	out := map[string]string{}
	var put func(key string, v any)
	put = func(key string, v any) {
		switch v := v.(type) {
		case map[string]any:
			for k, v := range v {
				put(strings.TrimPrefix(key+"."+k, "."), v)
			}
		case []any:
			for i, v := range v {
				if m, ok := v.(map[string]any); ok && m["team"] != nil {
					put(fmt.Sprintf("%s[%v]", key, m["team"]), v)
				} else if ok && m["name"] != nil {
					put(fmt.Sprintf("%s[%v]", key, m["name"]), v)
				} else if key == "ban" {
					put(fmt.Sprintf("ban[%v]", v), v)
				} else {
					put(fmt.Sprintf("%s[%d]", key, i), v)
				}
			}
		default:
			out[key] = fmt.Sprint(v)
		}
	}
	var tree map[string]any
	if text, err := toml.Marshal(d); err == nil && toml.Unmarshal(text, &tree) == nil {
		put("", tree)
	}
	return out
}

// Diff says, a line a key, what next changes.
func (d Document) Diff(next Document) (lines []string) {
	was, will := d.flat(), next.flat()
	all := maps.Clone(was)
	maps.Copy(all, will)
	for _, key := range slices.Sorted(maps.Keys(all)) {
		a, had := was[key]
		b, has := will[key]
		switch {
		case !had:
			lines = append(lines, fmt.Sprintf("%s: + %s", key, b))
		case !has:
			lines = append(lines, fmt.Sprintf("%s: - %s", key, a))
		case a != b:
			lines = append(lines, fmt.Sprintf("%s: %s to %s", key, a, b))
		}
	}
	return lines
}
