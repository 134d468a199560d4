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

// Estimates are what is known, in the words of the decision module's memory.
type Estimates struct {
	Version        int                   `cbor:"1,keyasint,omitempty"`
	MeanLogRunTime float64               `cbor:"2,keyasint,omitempty"` // ln seconds
	JobCount       float64               `cbor:"3,keyasint,omitempty"` // by which that is known
	Kinds          []Kind                `cbor:"4,keyasint,omitempty"` // in the settings' order
	Classes        map[string][2]float64 `cbor:"5,keyasint,omitempty"` // ln of the work in seconds, and evidence for it
}

// Kind is one kind of worker.
type Kind struct {
	LogSlowdown float64 `cbor:"1,keyasint,omitempty" json:"Slow"` // ln of how much longer a job runs than MeanLogRunTime
	JobCount    float64 `cbor:"2,keyasint,omitempty" json:"Seen"` // jobs by which that is known
	Slots       float64 `cbor:"3,keyasint,omitempty"`
}

const (
	mostKinds, mostClasses = 64, 256
	// weigh bounds how much what is known weighs against news: a machine of a kind may change.
	weigh = 1000
)

// HasData tells whether there is anything.
func (s *Estimates) HasData() bool { return s.JobCount > 0 }

// Decode reads what one dispatcher's module has learned; nil where it is not to be read, or nothing.
func Decode(module []byte) *Estimates {
	var m struct {
		Version int
		MeanRun float64
		Kinds   []Kind
		Classes map[string][2]float64
	}
	if json.Unmarshal(module, &m) != nil {
		return nil
	}
	s := &Estimates{Version: m.Version, MeanLogRunTime: m.MeanRun, Kinds: m.Kinds, Classes: m.Classes}
	for _, c := range m.Classes {
		s.JobCount += c[1]
	}
	if !s.sound() || s.JobCount == 0 {
		return nil
	}
	return s
}

// Encode words it as the module's memory, to be recalled by one that knows nothing yet.
func (s *Estimates) Encode() []byte {
	text, err := json.Marshal(map[string]any{"Version": s.Version, "Speeds": true, "MeanRun": s.MeanLogRunTime, "Kinds": s.Kinds, "Classes": s.Classes})
	if err != nil {
		return nil
	}
	return text
}

func (s *Estimates) sound() bool {
	all := []float64{s.MeanLogRunTime}
	for _, k := range s.Kinds {
		all = append(all, k.LogSlowdown, k.JobCount, k.Slots)
		if k.JobCount < 0 || k.Slots < 0 || k.Slots > 1e5 {
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
	return len(s.Kinds) <= mostKinds && len(s.Classes) <= mostClasses && math.Abs(s.MeanLogRunTime) < 20 && !slices.ContainsFunc(all, bad)
}

// mean weighs a figure known by so many jobs with news of others.
func mean(was, by, is, jobs float64) float64 {
	if by+jobs == 0 {
		return was
	}
	return (was*by + is*jobs) / (by + jobs)
}

// Merge takes in what one dispatcher has learned since it last said so. What can't be is left out.
func (s *Estimates) Merge(o *Estimates) {
	if !o.sound() || o.JobCount <= 0 || s.HasData() && s.Version != o.Version {
		return
	}
	if s.Version = o.Version; s.Classes == nil {
		s.Classes = map[string][2]float64{}
	}
	s.MeanLogRunTime = mean(s.MeanLogRunTime, min(s.JobCount, weigh), o.MeanLogRunTime, o.JobCount)
	s.JobCount = min(s.JobCount+o.JobCount, weigh)
	for i, k := range o.Kinds {
		if i == len(s.Kinds) {
			s.Kinds = append(s.Kinds, k)
			continue
		}
		was := &s.Kinds[i]
		was.LogSlowdown = mean(was.LogSlowdown, min(was.JobCount, weigh), k.LogSlowdown, k.JobCount)
		was.Slots = max(was.Slots*0.99, k.Slots) // the most that was seen at once; what was seen by chance fades
		was.JobCount = min(was.JobCount+k.JobCount, weigh)
	}
	for _, name := range slices.Sorted(maps.Keys(o.Classes)) {
		if len(s.Classes) >= mostClasses {
			break
		}
		c, was := o.Classes[name], s.Classes[name]
		s.Classes[name] = [2]float64{mean(was[0], min(was[1], weigh), c[0], c[1]), min(was[1]+c[1], weigh)}
	}
}
