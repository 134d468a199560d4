package view

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"yardflow/internal/testing/wiretest"
)

// TestEncodingsOfStoredAndSentValuesDoNotChange compares the encodings with golden files written at commit b99a1ea, to which
// the fields added since were appended, so that a rename in Go changes no stored or sent byte.
func TestEncodingsOfStoredAndSentValuesDoNotChange(t *testing.T) {
	wiretest.AssertEncoding(t, "durable", encode[HardState], decode[HardState])
	wiretest.AssertEncoding(t, "message", encode[Message], decode[Message])
	wiretest.AssertEncoding(t, "ping", encode[Heartbeat], decode[Heartbeat])
}

// TestValuesWithoutHistoryKeepTheirBytes checks that what the build before View.History, Promise.Completeness and the seal
// has stored and sent is decoded and encoded to the same bytes.
func TestValuesWithoutHistoryKeepTheirBytes(t *testing.T) {
	wiretest.AssertRecoded(t, "before-history/durable", encode[HardState], decode[HardState])
	wiretest.AssertRecoded(t, "before-history/message", encode[Message], decode[Message])
	wiretest.AssertRecoded(t, "before-history/ping", encode[Heartbeat], decode[Heartbeat])
}

func encode[T any](value T) ([]byte, error) { return cbor.Marshal(value) }

func decode[T any](data []byte, value *T) error { return cbor.Unmarshal(data, value) }
