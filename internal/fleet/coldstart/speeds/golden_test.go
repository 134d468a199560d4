package speeds

import (
	"testing"

	"github.com/sebdah/goldie/v2"
)

// The golden file was written at b99a1ea: it is read by the decision module of another version.
func TestEncodingOfSpeedsDoesNotChange(t *testing.T) {
	speeds := Speeds{Version: 1, MeanRun: 0.5, Jobs: 12, Kinds: []Kind{{Slow: 0.25, Seen: 4, Slots: 2}}, Classes: map[string][2]float64{"loan": {1.5, 12}}}
	text := speeds.Module()
	goldie.New(t).Assert(t, "speeds", text)
	if got := From(text); got == nil || got.Jobs != 12 || got.Kinds[0] != speeds.Kinds[0] {
		t.Errorf("the figures are read as %+v", got)
	}
}
