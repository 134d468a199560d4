// Package speeds is what a fleet knows of speeds together, for whoever comes with nothing: how
// long jobs run, how much work each class brings, and how fast and wide each kind of worker is.
// Single workers are left out: what is known of one is its queue of the moment.
//
// It has no clock or I/O, and must never take in a figure that can't be one.
package speeds

import (
	"encoding/json"
	"maps"
	"math"
	"slices"
)

// Speeds are what is known, in the words of the decision module's memory.
type Speeds struct {
	Version int                   `cbor:"1,keyasint,omitempty"`
	MeanRun float64               `cbor:"2,keyasint,omitempty"` // ln seconds
	Jobs    float64               `cbor:"3,keyasint,omitempty"` // by which that is known
	Kinds   []Kind                `cbor:"4,keyasint,omitempty"` // in the settings' order
	Classes map[string][2]float64 `cbor:"5,keyasint,omitempty"` // ln of the work in seconds, and evidence for it
}

// Kind is one kind of worker.
type Kind struct {
	Slow  float64 `cbor:"1,keyasint,omitempty"` // ln of how much longer a job runs than MeanRun
	Seen  float64 `cbor:"2,keyasint,omitempty"` // jobs by which that is known
	Slots float64 `cbor:"3,keyasint,omitempty"`
}

const (
	mostKinds, mostClasses = 64, 256
	// weigh bounds how much what is known weighs against news: a machine of a kind may change.
	weigh = 1000
)

// Known tells whether there is anything.
func (s *Speeds) Known() bool { return s.Jobs > 0 }

// From reads what one dispatcher's module has learned; nil where it is not to be read, or nothing.
func From(module []byte) *Speeds {
	var m struct {
		Version int
		MeanRun float64
		Kinds   []Kind
		Classes map[string][2]float64
	}
	if json.Unmarshal(module, &m) != nil {
		return nil
	}
	s := &Speeds{Version: m.Version, MeanRun: m.MeanRun, Kinds: m.Kinds, Classes: m.Classes}
	for _, c := range m.Classes {
		s.Jobs += c[1]
	}
	if !s.sound() || s.Jobs == 0 {
		return nil
	}
	return s
}

// Module words it as the module's memory, to be recalled by one that knows nothing yet.
func (s *Speeds) Module() []byte {
	text, err := json.Marshal(map[string]any{"Version": s.Version, "Speeds": true, "MeanRun": s.MeanRun, "Kinds": s.Kinds, "Classes": s.Classes})
	if err != nil {
		return nil
	}
	return text
}

func (s *Speeds) sound() bool {
	all := []float64{s.MeanRun}
	for _, k := range s.Kinds {
		all = append(all, k.Slow, k.Seen, k.Slots)
		if k.Seen < 0 || k.Slots < 0 || k.Slots > 1e5 {
			return false
		}
	}
	for _, c := range s.Classes {
		all = append(all, c[0], c[1])
		if math.Abs(c[0]) > 20 || c[1] < 0 {
			return false
		}
	}
	bad := func(v float64) bool { return math.IsNaN(v) || math.Abs(v) > 1e9 }
	return len(s.Kinds) <= mostKinds && len(s.Classes) <= mostClasses && math.Abs(s.MeanRun) < 20 && !slices.ContainsFunc(all, bad)
}

// mean weighs a figure known by so many jobs with news of others.
func mean(was, by, is, jobs float64) float64 {
	if by+jobs == 0 {
		return was
	}
	return (was*by + is*jobs) / (by + jobs)
}

// Merge takes in what one dispatcher has learned since it last said so. What can't be is left out.
func (s *Speeds) Merge(o *Speeds) {
	if !o.sound() || o.Jobs <= 0 || s.Known() && s.Version != o.Version {
		return
	}
	if s.Version = o.Version; s.Classes == nil {
		s.Classes = map[string][2]float64{}
	}
	s.MeanRun = mean(s.MeanRun, min(s.Jobs, weigh), o.MeanRun, o.Jobs)
	s.Jobs = min(s.Jobs+o.Jobs, weigh)
	for i, k := range o.Kinds {
		if i == len(s.Kinds) {
			s.Kinds = append(s.Kinds, k)
			continue
		}
		was := &s.Kinds[i]
		was.Slow = mean(was.Slow, min(was.Seen, weigh), k.Slow, k.Seen)
		was.Slots = max(was.Slots*0.99, k.Slots) // the most that was seen at once; what was seen by chance fades
		was.Seen = min(was.Seen+k.Seen, weigh)
	}
	for _, name := range slices.Sorted(maps.Keys(o.Classes)) {
		if len(s.Classes) >= mostClasses {
			break
		}
		c, was := o.Classes[name], s.Classes[name]
		s.Classes[name] = [2]float64{mean(was[0], min(was[1], weigh), c[0], c[1]), min(was[1]+c[1], weigh)}
	}
}
