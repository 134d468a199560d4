package dispatcher

import (
	"fmt"
	"testing"

	"yardflow/internal/control/patch"
	"yardflow/internal/control/statemachine"
)

func configOf(version int64, routes int) []byte {
	text := fmt.Appendf(nil, `{"Version":%d,"Services":[{"Name":"s"}],"Routes":[`, version)
	for i := range routes {
		if i > 0 {
			text = append(text, ',')
		}
		text = fmt.Appendf(text, `{"Host":"h","PathPrefix":"/%d/","Service":"s","TimeoutMs":3000}`, i)
	}
	return append(text, "]}"...)
}

// change returns the update from one configuration to another.
func change(from, to int64, routesBefore, routes int) *statemachine.ConfigUpdate {
	made := patch.Diff(configOf(from, routesBefore), configOf(to, routes))
	return &statemachine.ConfigUpdate{Version: to, BaseVersion: from, Patch: &made}
}

// TestOnlyTheNewestOfManyChangesIsRead keeps that a dispatcher that is behind goes to the newest at once.
func TestOnlyTheNewestOfManyChangesIsRead(t *testing.T) {
	d := idle()
	d.setConfig(&statemachine.ConfigUpdate{Version: 1, Body: configOf(1, 3)})
	for version := int64(1); version < 50; version++ {
		d.setConfig(change(version, version+1, int(version)+2, int(version)+3))
	}
	if d.configInForce() != 0 {
		t.Error("a configuration is read before the flush")
	}
	d.readConfig()
	if d.configInForce() != 50 || len(d.config.Load().Routes) != 52 {
		t.Errorf("version %d with %d routes", d.configInForce(), len(d.config.Load().Routes))
	}
	d.setConfig(change(49, 50, 51, 52)) // a copy that comes late
	d.readConfig()
	if d.configInForce() != 50 {
		t.Errorf("went back to %d", d.configInForce())
	}
}

// TestChangeOfAnotherBaseAsksForTheWhole keeps that a change which doesn't fit is not put in force, and that the
// dispatcher then says that it has nothing, so that it is sent the whole.
func TestChangeOfAnotherBaseAsksForTheWhole(t *testing.T) {
	d := idle()
	d.setConfig(&statemachine.ConfigUpdate{Version: 5, Body: configOf(5, 3)})
	d.readConfig()
	d.setConfig(change(6, 7, 9, 10))
	d.readConfig()
	if d.configInForce() != 5 || d.bodyVersion != 0 {
		t.Errorf("in force %d, told %d", d.configInForce(), d.bodyVersion)
	}
	d.setConfig(&statemachine.ConfigUpdate{Version: 7, Body: configOf(7, 10)})
	d.readConfig()
	if d.configInForce() != 7 {
		t.Errorf("in force %d", d.configInForce())
	}
}
