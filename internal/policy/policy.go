// Package policy is the document that operators decide on and keepers put in force: which
// workers get nothing, and how often a request may be tried. It is read whole or not at all,
// every fault named by line and key with what was expected. It has no I/O, and must never
// apply anything: the dispatcher does.
package policy

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Document is one policy.
type Document struct {
	Ban      []string `toml:"ban"`      // ids of workers that get nothing new, beside those taken out by hand
	Attempts int      `toml:"attempts"` // at most so many for a request, where the settings allow more; 0: as they say
}

const maxBans = 1000

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
				all = append(all, fmt.Errorf("%d: %s: unknown; expected ban or attempts", row, strings.Join(e.Key(), ".")))
			}
			return Document{}, errors.Join(all...)
		case errors.As(err, &broken):
			row, _ := broken.Position()
			return Document{}, fmt.Errorf("%d: %s", row, broken.Error())
		}
		return Document{}, err
	}
	var all []error
	if d.Attempts < 0 || d.Attempts > 100 {
		all = append(all, fmt.Errorf("attempts: %d; expected 0 to 100", d.Attempts))
	}
	if len(d.Ban) > maxBans {
		all = append(all, fmt.Errorf("ban: %d ids; expected %d at most", len(d.Ban), maxBans))
	}
	for i, id := range d.Ban {
		if id == "" || strings.ContainsAny(id, " \n") {
			all = append(all, fmt.Errorf("ban[%d]: %q; expected an id as discovery has it", i, id))
		}
	}
	if err := errors.Join(all...); err != nil {
		return Document{}, err
	}
	slices.Sort(d.Ban)
	d.Ban = slices.Compact(d.Ban)
	return d, nil
}

// Diff says, a line a key, what next changes.
func (d Document) Diff(next Document) (lines []string) {
	for _, id := range next.Ban {
		if !slices.Contains(d.Ban, id) {
			lines = append(lines, "ban: + "+id)
		}
	}
	for _, id := range d.Ban {
		if !slices.Contains(next.Ban, id) {
			lines = append(lines, "ban: - "+id)
		}
	}
	if d.Attempts != next.Attempts {
		lines = append(lines, fmt.Sprintf("attempts: %d to %d", d.Attempts, next.Attempts))
	}
	return lines
}
