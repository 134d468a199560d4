package httpfront

import (
	"testing"
	"time"

	"yardflow/internal/gateway/config"
)

// The timer of a start may run before the start itself has ended the list's use, as it did once on a busy machine: no
// update is missing then, and none is logged as missing.
func TestStartupIsNotLoggedAsMissingUpdate(t *testing.T) {
	cfg := testConfig()
	cfg.Discovery = "127.0.0.1:1"
	cfg.Membership = config.DefaultMembership()
	var logged []string
	table, b := newTestTable(t, cfg, func(line string) { logged = append(logged, line) })
	table.mu.Lock()
	table.freshness.clear()
	table.freshness.require(time.Now().Add(-time.Second), time.Hour, causeStartup, func() {})
	table.mu.Unlock()
	b.SetListStale(false)
	table.expire()
	if len(logged) > 0 {
		t.Errorf("logged %q", logged)
	}
	if b.SetListStale(true) {
		t.Error("the inherited list is still in use")
	}
	b.SetListStale(false)
	table.mu.Lock()
	table.freshness.cause = causeCallTimeout
	table.mu.Unlock()
	if table.expire(); len(logged) != 1 {
		t.Errorf("a missing update is logged %d times", len(logged))
	}
}
