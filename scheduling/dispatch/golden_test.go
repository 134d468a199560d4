package dispatch

import (
	"encoding/json"
	"testing"

	"yardflow/internal/testing/wiretest"
)

// A process must be able to restore the snapshots of other versions, so the encoding must stay as in the
// golden file, which was written at commit b99a1ea.
func TestSnapshotEncodingIsStable(t *testing.T) {
	wiretest.AssertEncoding(t, "memory",
		func(value snapshot) ([]byte, error) { return json.Marshal(value) },
		func(data []byte, value *snapshot) error { return json.Unmarshal(data, value) })
}
