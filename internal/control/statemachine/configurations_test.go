package statemachine

import (
	"fmt"
	"strings"
	"testing"
)

func TestConfigureChecksVersions(t *testing.T) {
	c := newTestCluster(t, 1, 0)
	configure := func(version, baseVersion int64, body string, want Code) {
		t.Helper()
		c.mustApply(Command{Configure: &Configure{Version: version, BaseVersion: baseVersion, Body: []byte(body)}}, want)
	}
	c.mustApply(Command{ReadConfig: &ReadConfig{}}, NotFound)
	configure(3, 0, "three", OK)
	configure(3, 0, "three", OK)       // its acknowledgement was lost
	configure(3, 0, "other", Conflict) // another body of the same version
	configure(5, 0, "five", Conflict)  // another configuration replaced the base version first
	configure(2, 3, "two", Invalid)    // not above the current version
	configure(5, 3, "five", OK)
	configure(3, 0, "three", OK) // was in force before: still acknowledged
	if body := string(c.mustApply(Command{ReadConfig: &ReadConfig{}}, OK).Body); body != "five" {
		t.Errorf("configuration %q is in force, want five", body)
	}
}

// TestAcknowledgedConfigurationIsNeverRejected resends each configuration immediately and after many others, and sends a
// different body of each version, which must be rejected.
func TestAcknowledgedConfigurationIsNeverRejected(t *testing.T) {
	c := newTestCluster(t, 1, 0)
	body := func(version int64) []byte {
		return []byte(fmt.Sprintf(`{"Version":%d,"Routes":[%s]}`, version, strings.Repeat(`{"Name":"r"},`, 3)))
	}
	const versions = maxConfigDigests + 200
	for version := int64(1); version <= versions; version++ {
		command := Command{Configure: c.NewConfigure(version, version-1, body(version))}
		if version > 1 && command.Configure.Patch == nil {
			t.Fatal("a change of the present version contains the whole body instead of a patch")
		}
		c.mustApply(command, OK)
		c.mustApply(command, OK) // its acknowledgement was lost
		c.mustApply(Command{Configure: c.NewConfigure(version, version-1, body(version))}, OK)
		c.mustApply(Command{Configure: c.NewConfigure(version, version-1, append(body(version), ' '))}, Conflict)
		if string(c.ConfigBody) != string(body(version)) {
			t.Fatalf("version %d has body %s", version, c.ConfigBody)
		}
	}
	for version := int64(1); version < versions; version++ {
		result := c.Apply(&Command{Configure: c.NewConfigure(version, version-1, body(version))})
		if want := map[bool]Code{true: Unknown, false: OK}[version <= versions-maxConfigDigests]; result.Code != want {
			t.Fatalf("version %d of %d resent: outcome %d, want %d", version, versions, result.Code, want)
		}
	}
	if len(c.ConfigDigests) > maxConfigDigests {
		t.Errorf("the state has %d digests, more than maxConfigDigests", len(c.ConfigDigests))
	}
	// A configuration that can't have been acknowledged is rejected even after its version's digest was dropped.
	c.mustApply(Command{Configure: c.NewConfigure(3, versions, body(3))}, Invalid)
}

// TestOneOfTwoConfigurationsOfAVersionIsAcknowledged checks that only one of two bodies of the same version is ever
// acknowledged.
func TestOneOfTwoConfigurationsOfAVersionIsAcknowledged(t *testing.T) {
	c := newTestCluster(t, 1, 0)
	c.mustApply(Command{Configure: c.NewConfigure(3, 0, []byte(`{"Version":3}`))}, OK)
	first := Command{Configure: c.NewConfigure(5, 3, []byte(`{"Version":5,"A":1}`))}
	second := Command{Configure: c.NewConfigure(5, 3, []byte(`{"Version":5,"A":2}`))}
	c.mustApply(first, OK)
	c.mustApply(second, Conflict)
	c.mustApply(first, OK)
	c.mustApply(second, Conflict)
}

// TestRestoreOfASnapshotWithoutDigests restores a snapshot of an earlier version, which has no digests. It checks that the
// configuration in force is acknowledged again, and that an older one gets Unknown and is not rejected.
func TestRestoreOfASnapshotWithoutDigests(t *testing.T) {
	c := New(2)
	c.Restore(State{ConfigVersion: 9, ConfigBody: []byte("nine"), Sessions: map[SessionID]*Session{4: {ID: 4, Node: "n", Incarnation: 1}}})
	for _, resent := range []struct {
		configure Configure
		want      Code
	}{
		{Configure{Version: 9, BaseVersion: 7, Body: []byte("nine")}, OK},
		{Configure{Version: 9, BaseVersion: 7, Body: []byte("other")}, Conflict},
		{Configure{Version: 7, BaseVersion: 3, Body: []byte("seven")}, Unknown},
	} {
		if result := c.Apply(&Command{Configure: &resent.configure}); result.Code != resent.want {
			t.Errorf("version %d: outcome %d, want %d", resent.configure.Version, result.Code, resent.want)
		}
	}
	if c.LatestSession("n") != 4 {
		t.Error("the latest session of a node was not restored")
	}
}
