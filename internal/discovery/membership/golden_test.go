package membership

import (
	"encoding/json"
	"testing"

	"yardflow/internal/testing/wiretest"
)

// A process hands its snapshot to its successor, which may be of another version, so the encoding
// must not change. The golden file was written by the code of commit b99a1ea.
func TestEncodingOfSnapshotDoesNotChange(t *testing.T) {
	wiretest.AssertEncoding(t, "saved",
		func(value map[string]savedSource) ([]byte, error) { return json.Marshal(value) },
		func(data []byte, value *map[string]savedSource) error { return json.Unmarshal(data, value) })
}
