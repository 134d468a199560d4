package statemachine

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"yardflow/internal/testing/wiretest"
)

// TestEncodingsOfCommandsUpdatesAndSnapshotsDoNotChange checks the encodings that every control machine has on its disk:
// commands are stored in logs, and the state in snapshots. The golden files were written at commit b99a1ea.
func TestEncodingsOfCommandsUpdatesAndSnapshotsDoNotChange(t *testing.T) {
	wiretest.AssertEncoding(t, "command", encode[Command], decode[Command])
	wiretest.AssertEncoding(t, "update", encode[Update], decode[Update])
	wiretest.AssertEncoding(t, "result", encode[Result], decode[Result])
	wiretest.AssertEncoding(t, "state", encode[State], decode[State])
}

// TestEncodingsOfVersionsWithoutRulesAreReadUnchanged checks that commands and snapshots that a build from before there were
// versions of the rules has written are read, and written again to the same bytes.
func TestEncodingsOfVersionsWithoutRulesAreReadUnchanged(t *testing.T) {
	wiretest.AssertRecoded(t, "before-rules/command", encode[Command], decode[Command])
	wiretest.AssertRecoded(t, "before-rules/state", encode[State], decode[State])
}

func encode[T any](value T) ([]byte, error) { return cbor.Marshal(value) }

func decode[T any](data []byte, value *T) error { return cbor.Unmarshal(data, value) }
