package httpfront

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// The settings name a report's values as the simulator does, workers as their own protocol does.
func TestParseLoadReport(t *testing.T) {
	for text, want := range map[string][]float64{
		`{"util":0.5,"eps":2,"x0":1,"more":9}`: {0.5, 2, 1},
		`{"cpu":0.5,"err_rps":2,"x0":1}`:       {0.5, 2, 1},
		`{"util":0.5,"x0":1}`:                  nil,
		`{"util":"a","eps":2,"x0":1}`:          nil,
		`[]`:                                   nil,
		``:                                     nil,
	} {
		if diff := cmp.Diff(want, parseLoad(testConfig().LoadColumns, []byte(text))); diff != "" {
			t.Errorf("%s: %s", text, diff)
		}
	}
}
