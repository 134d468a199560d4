package server

import (
	"fmt"
	"testing"

	"yardflow/internal/control/statemachine"
)

func TestConfigHistorySince(t *testing.T) {
	history := configHistory{}
	versions := func(since int64) string {
		text := ""
		for _, update := range history.since(since) {
			text += fmt.Sprint(update.Config.Version, " ")
		}
		return text
	}
	for _, version := range []int64{4, 7, 9} {
		base := map[int64]int64{4: 2, 7: 4, 9: 7}[version]
		history.add(&statemachine.ConfigUpdate{Version: version, BaseVersion: base})
	}
	if versions(4) != "7 9 " || versions(2) != "4 7 9 " || versions(3) != "" || versions(9) != "" {
		t.Errorf("changes since 4: %s; since 2: %s; since 3: %s", versions(4), versions(2), versions(3))
	}
	history.add(&statemachine.ConfigUpdate{Version: 20, BaseVersion: 15}) // gap, as after a snapshot was installed
	if versions(4) != "" || versions(15) != "20 " {
		t.Error("changes with a gap between them are returned, or the newest change is missing")
	}
	for version := int64(20); version < 500; version++ {
		history.add(&statemachine.ConfigUpdate{Version: version + 1, BaseVersion: version})
	}
	if len(history.changes) != maxConfigHistory {
		t.Errorf("history has %d changes, want maxConfigHistory", len(history.changes))
	}
}
