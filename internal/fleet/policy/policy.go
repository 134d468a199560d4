// Package policy is the document that operators propose and the coordinators put in force: which workers are banned, how
// often a request may be attempted, how the sources of workers are merged, how capacity is reserved for large jobs, what
// teams may ask for, and what holds for the fleet as a whole (quotas, outlier ejection, cold start, workflows).
//
// A document is read completely or not at all: Parse names every problem with its line or key and what was expected.
// The package does no input or output and never applies a document; the dispatcher does. Keys are protected: a document
// of an earlier release reads the same.
package policy

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"yardflow/internal/workflow/pool"
)

// Document is one policy. What it leaves out stays as the dispatchers' own files have it.
type Document struct {
	BannedWorkers []string      `toml:"ban,omitempty"`      // IDs of workers that get no new jobs, beside those that are banned at the dispatcher
	MaxAttempts   int           `toml:"attempts,omitempty"` // of one request, where the dispatcher's settings allow more; 0: as those say
	MergeRule     string        `toml:"rule,omitempty"`     // by which the sources of workers are merged
	Reservations  *Reservations `toml:"room,omitempty"`     // of capacity for large jobs
	Contracts     []Contract    `toml:"contract,omitempty"` // of the SSE front's teams, instead of those of the files

	Limits       []Limit  `toml:"limit,omitempty"`       // of the whole fleet (package quota)
	Dispatchers  int      `toml:"dispatchers,omitempty"` // at once, with every second process of an upgrade
	ReclaimDelay Duration `toml:"settle,omitempty"`      // for how long requests of a vanished dispatcher may run on; 0: defaultReclaimDelay

	OutlierEjection *OutlierEjection `toml:"verdicts,omitempty"`
	ColdStart       *ColdStart       `toml:"start,omitempty"`

	Workflows []Workflow  `toml:"flow,omitempty"`
	Pools     []pool.Pool `toml:"pool,omitempty"` // of workers, for steps of workflows
}

// Contract is what one team may ask for at one dispatcher.
type Contract struct {
	Team    string   `toml:"team"`
	Tenant  string   `toml:"tenant"`
	Classes []string `toml:"classes"`
	Rate    float64  `toml:"rate"`     // requests a second
	Burst   int      `toml:"burst"`    // requests at once after a pause
	MaxOpen int      `toml:"max_open"` // requests without an answer at once
}

// Duration is a time that is written as text, such as "5s".
type Duration time.Duration

// UnmarshalText reads a Duration.
func (d *Duration) UnmarshalText(text []byte) error {
	read, err := time.ParseDuration(string(text))
	*d = Duration(read)
	return err
}

// MarshalText writes a Duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Parse reads a document. Its error joins all problems.
func Parse(text []byte) (Document, error) {
	var d Document
	decoder := toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields()
	if err := decoder.Decode(&d); err != nil {
		return Document{}, decodeError(err)
	}
	if err := d.validate(string(text)); err != nil {
		return Document{}, err
	}
	slices.Sort(d.BannedWorkers)
	d.BannedWorkers = slices.Compact(d.BannedWorkers)
	return d, nil
}

// decodeError adds lines to what the decoder says, and which keys there are.
func decodeError(err error) error {
	var unknown *toml.StrictMissingError
	var malformed *toml.DecodeError
	switch {
	case errors.As(err, &unknown):
		known := strings.Join(slices.Sorted(maps.Keys(formatOfKey)), ", ")
		var problems []error
		for _, e := range unknown.Errors {
			line, _ := e.Position()
			problems = append(problems, fmt.Errorf("%d: %s: unknown; expected one of %s", line, strings.Join(e.Key(), "."), known))
		}
		return errors.Join(problems...)
	case errors.As(err, &malformed):
		line, _ := malformed.Position()
		return fmt.Errorf("%d: %s", line, malformed.Error())
	}
	return err
}

// orElse sets a setting to what the document says, unless it says nothing.
func orElse[T comparable](setting *T, stated T) {
	if unset := *new(T); stated != unset {
		*setting = stated
	}
}
