package speeds

import (
	"testing"

	"github.com/sebdah/goldie/v2"
)

// The golden file was written at b99a1ea: it is read by the decision module of another version.
func TestEncodingOfSpeedsDoesNotChange(t *testing.T) {
	estimates := Estimates{Version: 1, MeanLogRunTime: 0.5, JobCount: 12, Kinds: []Kind{{LogSlowdown: 0.25, JobCount: 4, Slots: 2}}, Classes: map[string]ClassEstimate{"loan": {1.5, 12}}}
	memory := estimates.Encode()
	goldie.New(t).Assert(t, "speeds", memory)
	if got := Decode(memory); got == nil || got.JobCount != 12 || got.Kinds[0] != estimates.Kinds[0] {
		t.Errorf("the figures are read as %+v", got)
	}
}
