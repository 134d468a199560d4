package httpfront

import (
	"testing"
	"time"

	"yardflow/internal/gateway/broker"
	"yardflow/internal/gateway/config"
	"yardflow/scheduling/dispatch"
)

// testConfig has one class whose requests run at most once.
func testConfig() *config.Config {
	return &config.Config{Classes: []string{"unsafe"}, Zones: []string{"a", "b"}, Kinds: []string{"m1", "m2"},
		LoadColumns: []string{"cpu", "err_rps", "x0"}, ConnectTimeout: time.Second, IdleTimeout: time.Minute,
		Dispatch: dispatch.Settings{Fleet: dispatch.FleetSettings{Count: 1}, Attempts: dispatch.AttemptSettings{Max: 4},
			List: dispatch.ListSettings{MustSubscribe: true, RefreshInterval: 10 * time.Second},
			Classes: []dispatch.Class{{Name: "unsafe", LatencyTarget: 20 * time.Second, Deadline: 5 * time.Second, Value: 1,
				Semantics: dispatch.AtMostOnce, WorkerKind: -1}}}}
}

func newTestBroker(t *testing.T, cfg *config.Config) *broker.Broker {
	b, err := broker.New(cfg.Dispatch, 1, nil, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	return b
}
