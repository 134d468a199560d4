package dispatcher

import (
	"fmt"
	"strings"
	"testing"

	"yardflow/internal/control/patch"
	"yardflow/internal/control/statemachine"
)

func TestOlderConfigurationIsIgnored(t *testing.T) {
	d := runDisconnected(t, true)
	done := make(chan struct{})
	d.post(func() {
		d.receiveConfig(&statemachine.ConfigUpdate{Version: 2,
			Body: []byte(strings.Replace(testConfiguration, `"Version":3`, `"Version":2`, 1))})
		d.applyConfig()
		close(done)
	})
	<-done
	if version := d.config.parsed.Load().Version; version != 3 {
		t.Errorf("version %d is in force, want 3", version)
	}
}

// configurationWithRoutes returns the body of a configuration of the given version with that many routes.
func configurationWithRoutes(version int64, routes int) []byte {
	text := fmt.Appendf(nil, `{"Version":%d,"Services":[{"Name":"s"}],"Routes":[`, version)
	for i := range routes {
		if i > 0 {
			text = append(text, ',')
		}
		text = fmt.Appendf(text, `{"Host":"h","PathPrefix":"/%d/","Service":"s","TimeoutMs":3000}`, i)
	}
	return append(text, "]}"...)
}

// configurationPatch returns the update that patches one version of the configuration to another version. RoutesBefore and
// routes are their numbers of routes.
func configurationPatch(from, to int64, routesBefore, routes int) *statemachine.ConfigUpdate {
	patched := patch.Diff(configurationWithRoutes(from, routesBefore), configurationWithRoutes(to, routes))
	return &statemachine.ConfigUpdate{Version: to, BaseVersion: from, Patch: &patched}
}

// TestOnlyTheNewestOfManyConfigurationsIsParsed checks that a dispatcher that has many new versions to apply parses only the
// newest one.
func TestOnlyTheNewestOfManyConfigurationsIsParsed(t *testing.T) {
	d := newDispatcherWithoutLoop()
	d.receiveConfig(&statemachine.ConfigUpdate{Version: 1, Body: configurationWithRoutes(1, 3)})
	for version := int64(1); version < 50; version++ {
		d.receiveConfig(configurationPatch(version, version+1, int(version)+2, int(version)+3))
	}
	if d.config.version() != 0 {
		t.Error("a configuration is in force before the flush")
	}
	d.applyConfig()
	if d.config.version() != 50 || len(d.config.parsed.Load().Routes) != 52 {
		t.Errorf("version %d with %d routes is in force", d.config.version(), len(d.config.parsed.Load().Routes))
	}
	d.receiveConfig(configurationPatch(49, 50, 51, 52)) // a delayed duplicate
	d.applyConfig()
	if d.config.version() != 50 {
		t.Errorf("version %d is in force after a delayed duplicate", d.config.version())
	}
}

// TestPatchOfAnotherBaseRequestsTheWholeConfiguration checks that a patch to a version that the dispatcher doesn't have is
// not put in force, and that the dispatcher then reports version 0, so that the control machines send the whole
// configuration.
func TestPatchOfAnotherBaseRequestsTheWholeConfiguration(t *testing.T) {
	d := newDispatcherWithoutLoop()
	d.receiveConfig(&statemachine.ConfigUpdate{Version: 5, Body: configurationWithRoutes(5, 3)})
	d.applyConfig()
	d.receiveConfig(configurationPatch(6, 7, 9, 10))
	d.applyConfig()
	if d.config.version() != 5 || d.config.bodyVersion != 0 {
		t.Errorf("version %d is in force and the received body has version %d, want 5 and 0",
			d.config.version(), d.config.bodyVersion)
	}
	d.receiveConfig(&statemachine.ConfigUpdate{Version: 7, Body: configurationWithRoutes(7, 10)})
	d.applyConfig()
	if d.config.version() != 7 {
		t.Errorf("version %d is in force, want 7", d.config.version())
	}
}
