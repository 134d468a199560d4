package statemachine

import (
	"bytes"
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestDrainIsNotifiedOnceBeforeTheWorkerUpdate checks that a WorkerDraining update, which may overtake other updates, is
// queued only once even if a second report contains the drain, and that the Worker update that follows in order shows the
// drain too.
func TestDrainIsNotifiedOnceBeforeTheWorkerUpdate(t *testing.T) {
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
			t.Errorf("only session %d is notified, want all", addressed.To)
		}
	}
	if got := strings.Join(notified, ", "); got != "drain of w1, state of w1, state of w1" {
		t.Errorf("the sessions are notified of %s", got)
	}
}

// TestUpdatesWithoutWorkerDrainingKeepTheirBytes checks that updates of the version before the field WorkerDraining can be
// decoded, and that an update without the field is encoded to the same bytes as before.
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
		t.Errorf("%x is encoded as %x, error %v", former, again, err)
	}
}
