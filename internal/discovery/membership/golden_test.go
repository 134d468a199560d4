package membership

import (
	"encoding/json"
	"testing"

	"yardflow/internal/testing/wiretest"
)

// The golden file was written at b99a1ea: a process hands its members to the one that takes over from it.
func TestEncodingOfSavedMembersDoesNotChange(t *testing.T) {
	wiretest.AssertEncoding(t, "saved",
		func(value map[string]savedSource) ([]byte, error) { return json.Marshal(value) },
		func(data []byte, value *map[string]savedSource) error { return json.Unmarshal(data, value) })
}
