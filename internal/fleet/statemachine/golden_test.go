package statemachine

import (
	"testing"

	"yardflow/internal/testing/wiretest"
)

// The golden files were written at b99a1ea, but for result-with-slots: commands stand in the coordinators' logs, the state in their snapshots and
// exported backups, and results and news travel between processes of mixed versions.
func TestEncodingsOfCommandsAndStateDoNotChange(t *testing.T) {
	wiretest.AssertEncoding(t, "command", encode[Command], decode[Command])
	wiretest.AssertRecoded(t, "result", encode[Result], decode[Result])
	wiretest.AssertEncoding(t, "result-with-slots", encode[Result], decode[Result]) // ColdStart.Slot came behind b99a1ea
	wiretest.AssertEncoding(t, "news", encode[WatchUpdate], decode[WatchUpdate])
	wiretest.AssertEncoding(t, "state", encode[State], decode[State])
	wiretest.AssertEncoding(t, "members", encode[[]Member], decode[[]Member])
	wiretest.AssertEncoding(t, "policy", encode[Policy], decode[Policy])
}

func encode[T any](value T) ([]byte, error) { return Encode(value) }

func decode[T any](data []byte, value *T) error { return Decode(data, value) }
