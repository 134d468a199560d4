package policy

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Bounds of a document, so that none fills the coordinators' state.
const (
	maxBans      = 1000
	maxLimits    = 20000
	maxWorkflows = 1000
	maxAttempts  = 100 // of one request
)

// problems collects all that is wrong with a document.
type problems []error

func (p *problems) add(format string, args ...any) { *p = append(*p, fmt.Errorf(format, args...)) }

// validate returns all problems of a document with that text, joined.
func (d *Document) validate(text string) error {
	var all problems
	d.validateFormat(&all)
	d.validateDispatch(&all)
	d.validateContracts(&all)
	if _, err := d.QuotaLimits(); err != nil {
		all = append(all, err)
	}
	if _, err := d.templates(text); err != nil {
		all = append(all, err)
	}
	if s := d.OutlierSettings(); s != nil {
		if err := s.Validate(); err != nil {
			all.add("verdicts.%w", err)
		}
	}
	if s := d.ColdStartSettings(); s != nil {
		if err := s.Validate(); err != nil {
			all.add("start.%w", err)
		}
	}
	return errors.Join(all...)
}

// validateFormat finds keys that are newer than this program.
func (d *Document) validateFormat(all *problems) {
	for _, key := range slices.Sorted(maps.Keys(d.flat())) {
		key, _, _ = strings.Cut(key, ".")
		key, _, _ = strings.Cut(key, "[")
		if formatOfKey[key] > FormatVersion() {
			all.add("%s: of form %d; this program knows form %d", key, formatOfKey[key], FormatVersion())
		}
	}
}

func (d *Document) validateDispatch(all *problems) {
	if d.MaxAttempts < 0 || d.MaxAttempts > maxAttempts {
		all.add("attempts: %d; expected 0 to 100", d.MaxAttempts)
	}
	if len(d.BannedWorkers) > maxBans {
		all.add("ban: %d ids; expected %d at most", len(d.BannedWorkers), maxBans)
	}
	for i, id := range d.BannedWorkers {
		if id == "" || strings.ContainsAny(id, " \n") {
			all.add("ban[%d]: %q; expected an id as discovery has it", i, id)
		}
	}
	if d.MergeRule != "" && !slices.Contains([]string{"roster-vetoes", "any", "all"}, d.MergeRule) {
		all.add("rule: %q; expected \"roster-vetoes\", \"any\" or \"all\"", d.MergeRule)
	}
	if d.Reservations == nil {
		return
	}
	if s := d.Reservations.Settings(); s != nil {
		if err := s.Validate(); err != nil {
			all.add("room.%w", err)
		}
	}
}

func (d *Document) validateContracts(all *problems) {
	teams := map[string]bool{}
	for i, c := range d.Contracts {
		switch {
		case c.Team == "" || teams[c.Team]:
			all.add("contract[%d].team: %q; expected a name that no other contract has", i, c.Team)
		case len(c.Classes) == 0 || !(c.Rate > 0) || c.Burst < 1 || c.MaxOpen < 1: // NaN is not over 0
			all.add("contract[%d]: expected classes, and rate, burst and max_open over 0", i)
		}
		teams[c.Team] = true
	}
}
