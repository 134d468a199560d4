package statemachine

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"yardflow/internal/fleet/coldstart"
	"yardflow/internal/fleet/outlier"
	"yardflow/internal/fleet/quota"
	"yardflow/internal/workflow/template"
)

// LeaseLossMode is what a dispatcher does while it holds no lease. In settings files it is the key "fence".
type LeaseLossMode uint8

const (
	// RefuseWork is to answer 503 and not be ready. Two versions never serve at the same moment.
	RefuseWork LeaseLossMode = iota
	// KeepLastPolicy is to go on under the last policy it held, and to say so on its console. Two versions may serve at
	// the same moment.
	KeepLastPolicy
)

// ParseLeaseLossMode parses a mode's name in settings files: "refuse" or "last".
func ParseLeaseLossMode(s string) (LeaseLossMode, error) {
	switch s {
	case "refuse":
		return RefuseWork, nil
	case "last":
		return KeepLastPolicy, nil
	}
	return 0, fmt.Errorf("%q; expected \"refuse\" or \"last\"", s)
}

// String returns the mode's name in settings files.
func (m LeaseLossMode) String() string {
	if m == KeepLastPolicy {
		return "last"
	}
	return "refuse"
}

// Policy is one version of the fleet's policy. It does not change once it is in force.
type Policy struct {
	Version  uint64 // 1, 2, ...; 0: no policy was ever made
	Revision uint64 // of the state, from which on it is in force
	Digest   string // of Text, see Digest
	Text     []byte // as it was proposed

	// What Text says, read by whoever proposed it.
	Limits          []quota.Limit       // of the whole fleet
	OutlierSettings *outlier.Settings   `cbor:"Judges" json:"Judges"` // nil: no outlier detection
	ColdStart       *coldstart.Settings `cbor:"Start" json:"Start"`   // nil: cold starts are not coordinated
	Workflows       []template.Template `cbor:"Flows" json:"Flows"`

	Author string `cbor:"Who" json:"Who"`
	Reason string `cbor:"Why" json:"Why"`
}

// Digest returns the SHA-256 of a policy's text, in hexadecimal digits.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// CurrentPolicy returns the policy in force; version 0 where none was made yet.
func (s *State) CurrentPolicy() Policy {
	if len(s.Policies) == 0 {
		return Policy{}
	}
	return s.Policies[len(s.Policies)-1]
}

// PolicyByVersion returns a policy, if it is among the Config.PolicyHistory latest.
func (s *State) PolicyByVersion(version uint64) (Policy, bool) {
	for _, p := range s.Policies {
		if p.Version == version {
			return p, true
		}
	}
	return Policy{}, false
}
