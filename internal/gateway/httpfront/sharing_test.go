package httpfront

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"yardflow/internal/discovery/membership"
	"yardflow/internal/gateway/config"
)

// roundTripFunc is a list service as a function.
type roundTripFunc func(r *http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// A dispatcher whose calls to the list service fail goes on calling when it has applied a relayed list: it may be the one
// that calls for all next. (The module once took the relayed list for the response to its own call, and asked no more.)
func TestRelayedListEndsNoCalls(t *testing.T) {
	t.Run("many dispatchers, calls that fail", func(t *testing.T) { assertCallsContinue(t, 80, false) })
	t.Run("a few, calls that are silent", func(t *testing.T) { assertCallsContinue(t, 6, true) })
}

func assertCallsContinue(t *testing.T, dispatchers int, silent bool) {
	const (
		back   = 40 * time.Second // the list service fails until then
		within = 60 * time.Second // of which it is asked again, since pauses grow to some 30 s
	)
	defer func(f func() http.RoundTripper) { discoveryTransport = f }(discoveryTransport)
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		failed, answered := atomic.Int32{}, atomic.Int32{}
		discoveryTransport = func() http.RoundTripper {
			return roundTripFunc(func(r *http.Request) (*http.Response, error) {
				if time.Since(began) < back {
					failed.Add(1)
					if silent {
						<-r.Context().Done()
						return nil, r.Context().Err()
					}
					return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody}, nil
				}
				answered.Add(1)
				select {
				case <-time.After(time.Second):
				case <-r.Context().Done():
					return nil, r.Context().Err()
				}
				text := strings.ReplaceAll(oneWorker, `"generation":1`, `"generation":9`)
				return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(text))}, nil
			})
		}
		cfg := testConfig()
		cfg.Discovery, cfg.KnownList, cfg.Membership = "d:1", json.RawMessage(oneWorker), config.DefaultMembership()
		cfg.Dispatch.Fleet.Count, cfg.Dispatch.List.MustSubscribe = dispatchers, true
		table, b := newTestTable(t, cfg, func(string) {})
		table.EnableSharing(unlimitedCalls{}, func(ListUpdate) {})
		go table.Run(t.Context())
		list := []membership.Worker{{ID: "s1", Addr: "h:1", Zone: "a", Kind: "m1", Weight: 1}}
		for generation := uint64(2); time.Since(began) < back; generation++ {
			time.Sleep(20 * time.Millisecond)
			table.ApplyRelayed(min(generation, 8), !silent, list)
		}
		time.Sleep(within)
		if failed.Load() == 0 || answered.Load() == 0 {
			t.Errorf("%d calls that failed, %d in the %v behind that", failed.Load(), answered.Load(), within)
		}
		b.Close()
	})
}
