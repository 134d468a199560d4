package server

import (
	"encoding/json"
	"testing"

	"github.com/sebdah/goldie/v2"

	"yardflow/internal/testing/wiretest"
)

// TestFieldsOfTheStatusDoNotChange compares the fields of the status, which operators' dashboards read, with the golden
// file written at commit b99a1ea.
func TestFieldsOfTheStatusDoNotChange(t *testing.T) {
	var status Status
	wiretest.Fill(&status)
	text, err := json.MarshalIndent(status, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "status", text)
}
