package statemachine

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// encMode encodes maps and structs with sorted keys (RFC 8949, section 4.2.1), so that the same value always has the
// same bytes. The options are the library's own and valid, so there is no error.
var encMode, _ = cbor.CoreDetEncOptions().EncMode()

// Encode encodes a value for the log, for snapshots and for calls, as CBOR.
func Encode(v any) ([]byte, error) { return encMode.Marshal(v) }

// Decode decodes what Encode returned. Keys that the type does not have are ignored: they are a newer version's.
func Decode(data []byte, v any) error { return cbor.Unmarshal(data, v) }

// Snapshot returns the whole state, encoded.
func (s *State) Snapshot() ([]byte, error) { return Encode(s) }

// Restore returns the state of a snapshot.
func Restore(snapshot []byte) (*State, error) {
	s := &State{}
	if err := Decode(snapshot, s); err != nil {
		return nil, fmt.Errorf("statemachine: snapshot: %w", err)
	}
	if s.Holders == nil {
		s.Holders = map[string]*LeaseHolder{}
	}
	forEachComponent(func(c component) { c.afterDecode(s) })
	return s, nil
}
