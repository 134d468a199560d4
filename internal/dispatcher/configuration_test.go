package dispatcher

import (
	"fmt"
	"strings"
	"testing"

	"yardflow/internal/control/patch"
	"yardflow/internal/control/statemachine"
)

func TestConfigurationNeverGoesBack(t *testing.T) {
	d := runDisconnected(t, true)
	done := make(chan struct{})
	d.post(func() {
		d.receiveConfig(&statemachine.ConfigUpdate{Version: 2, Body: []byte(strings.Replace(testConfiguration, `"Version":3`, `"Version":2`, 1))})
		d.applyConfig()
		close(done)
	})
	<-done
	if version := d.config.parsed.Load().Version; version != 3 {
		t.Errorf("went back to version %d", version)
	}
}

func configurationOf(version int64, routes int) []byte {
	text := fmt.Appendf(nil, `{"Version":%d,"Services":[{"Name":"s"}],"Routes":[`, version)
	for i := range routes {
		if i > 0 {
			text = append(text, ',')
		}
		text = fmt.Appendf(text, `{"Host":"h","PathPrefix":"/%d/","Service":"s","TimeoutMs":3000}`, i)
	}
	return append(text, "]}"...)
}

// changeOf returns the update that patches one configuration to another.
func changeOf(from, to int64, routesBefore, routes int) *statemachine.ConfigUpdate {
	patched := patch.Diff(configurationOf(from, routesBefore), configurationOf(to, routes))
	return &statemachine.ConfigUpdate{Version: to, BaseVersion: from, Patch: &patched}
}

// TestOnlyTheNewestOfManyConfigurationsIsParsed keeps that a dispatcher that is behind parses the newest alone.
func TestOnlyTheNewestOfManyConfigurationsIsParsed(t *testing.T) {
	d := newStopped()
	d.receiveConfig(&statemachine.ConfigUpdate{Version: 1, Body: configurationOf(1, 3)})
	for version := int64(1); version < 50; version++ {
		d.receiveConfig(changeOf(version, version+1, int(version)+2, int(version)+3))
	}
	if d.config.version() != 0 {
		t.Error("a configuration is parsed before the flush")
	}
	d.applyConfig()
	if d.config.version() != 50 || len(d.config.parsed.Load().Routes) != 52 {
		t.Errorf("version %d with %d routes", d.config.version(), len(d.config.parsed.Load().Routes))
	}
	d.receiveConfig(changeOf(49, 50, 51, 52)) // a late copy
	d.applyConfig()
	if d.config.version() != 50 {
		t.Errorf("went back to %d", d.config.version())
	}
}

// TestPatchOfAnotherBaseRequestsTheWholeConfiguration keeps that a patch of another base is not put in force, and that
// the dispatcher then says that it has no configuration, so that it is sent the whole.
func TestPatchOfAnotherBaseRequestsTheWholeConfiguration(t *testing.T) {
	d := newStopped()
	d.receiveConfig(&statemachine.ConfigUpdate{Version: 5, Body: configurationOf(5, 3)})
	d.applyConfig()
	d.receiveConfig(changeOf(6, 7, 9, 10))
	d.applyConfig()
	if d.config.version() != 5 || d.config.bodyVersion != 0 {
		t.Errorf("in force %d, received %d", d.config.version(), d.config.bodyVersion)
	}
	d.receiveConfig(&statemachine.ConfigUpdate{Version: 7, Body: configurationOf(7, 10)})
	d.applyConfig()
	if d.config.version() != 7 {
		t.Errorf("in force %d", d.config.version())
	}
}
