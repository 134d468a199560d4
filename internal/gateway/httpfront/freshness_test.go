package httpfront

import (
	"testing"
	"time"

	"yardflow/internal/platform/config"
)

// The timer of a start may run before the start itself has ended the list's use, as it did once beside other work: no word
// is missing then, and none is said to be.
func TestStartupIsNotLoggedAsMissingUpdate(t *testing.T) {
	cfg := testConfig()
	cfg.Discovery = "127.0.0.1:1"
	cfg.Membership = config.DefaultMembership()
	var said []string
	table, b := newTestTable(t, cfg, func(line string) { said = append(said, line) })
	table.mu.Lock()
	table.freshness.clear()
	table.freshness.require(time.Now().Add(-time.Second), time.Hour, causeStartup, func() {})
	table.mu.Unlock()
	b.SetListStale(false)
	table.expire()
	if len(said) > 0 {
		t.Errorf("logged %q", said)
	}
	if b.SetListStale(true) {
		t.Error("the list of before the start is still in use")
	}
	b.SetListStale(false)
	table.mu.Lock()
	table.freshness.cause = causeCallTimeout
	table.mu.Unlock()
	if table.expire(); len(said) != 1 {
		t.Errorf("a word that is missing is told of %d times", len(said))
	}
}
