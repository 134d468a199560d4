package httpfront

import (
	"encoding/json"
	"testing"

	"yardflow/internal/testing/wiretest"
)

// The golden file was written at b99a1ea: the list of workers as it is handed to the next process.
func TestEncodingOfSavedWorkerListDoesNotChange(t *testing.T) {
	wiretest.AssertEncoding(t, "saved_list",
		func(value listResponse) ([]byte, error) { return json.Marshal(value) },
		func(data []byte, value *listResponse) error { return json.Unmarshal(data, value) })
}
