package statemachine

import (
	"bytes"
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestDrainIsNotifiedOnceAndAheadOfTheWorkersState: the notice may overtake other updates, so it must not come a second time
// when the list names a drain again, and the state that follows in order says the same.
func TestDrainIsNotifiedOnceAndAheadOfTheWorkersState(t *testing.T) {
	c := newTestCluster(t, 2, 1)
	draining := c.Workers["w1"].Instance
	draining.Draining, draining.RemainingMs = true, 4000
	for sequence := range uint64(2) {
		c.mustApply(Command{InstancesChanged: &InstancesChanged{Reader: 1, Sequence: sequence + 2, Changed: []Instance{draining}}}, OK)
	}
	var notified []string
	for _, addressed := range c.DequeueUpdates() {
		switch {
		case addressed.Update.WorkerDraining != "":
			notified = append(notified, "drain of "+addressed.Update.WorkerDraining)
		case addressed.Update.Worker != nil && addressed.Update.Worker.Draining:
			notified = append(notified, "state of "+addressed.Update.Worker.ID)
		}
		if addressed.To != 0 {
			t.Errorf("session %d alone is notified", addressed.To)
		}
	}
	if got := strings.Join(notified, ", "); got != "drain of w1, state of w1, state of w1" {
		t.Errorf("notified of %s", got)
	}
}

// Updates of the version before the field WorkerDraining: what it sent is read, and what does not use the field has the same
// bytes for it.
func TestUpdatesWithoutWorkerDrainingKeepTheirBytes(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "before-worker-draining", "update.golden"))
	if err != nil {
		t.Fatal(err)
	}
	former, err := hex.DecodeString(strings.Join(strings.Fields(string(text)), ""))
	if err != nil {
		t.Fatal(err)
	}
	update := Update{}
	if err := decode(former, &update); err != nil {
		t.Fatal(err)
	}
	if again, err := encode(update); err != nil || !bytes.Equal(again, former) {
		t.Errorf("%x becomes %x, %v", former, again, err)
	}
}
