package dispatch

import (
	"encoding/json"
	"testing"

	"yardflow/internal/testing/wiretest"
)

// The golden file was written at b99a1ea: what one process has learned is restored by the next one.
func TestEncodingOfLearnedFiguresDoesNotChange(t *testing.T) {
	wiretest.AssertEncoding(t, "memory",
		func(value snapshot) ([]byte, error) { return json.Marshal(value) },
		func(data []byte, value *snapshot) error { return json.Unmarshal(data, value) })
}
