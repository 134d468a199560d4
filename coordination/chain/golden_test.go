package chain

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"yardflow/internal/testing/wiretest"
)

// TestEncodingsOfStoredAndSentValuesDoNotChange compares the encodings with golden files written at commit b99a1ea, to which
// the fields added since were appended, so that renaming Go types and fields does not change the stored and sent bytes.
func TestEncodingsOfStoredAndSentValuesDoNotChange(t *testing.T) {
	wiretest.AssertEncoding(t, "message", encode[Message], decode[Message])
	wiretest.AssertEncoding(t, "fetch", encode[CatchUpRequest], decode[CatchUpRequest])
	wiretest.AssertEncoding(t, "lesson", encode[CatchUpResponse], decode[CatchUpResponse])
	wiretest.AssertEncoding(t, "proposal", encode[Proposal], decode[Proposal])
}

// TestMessagesWithoutInstalledKeepTheirBytes checks that messages of the build before Ack.Installed are decoded and encoded
// to the same bytes.
func TestMessagesWithoutInstalledKeepTheirBytes(t *testing.T) {
	wiretest.AssertRecoded(t, "before-installed/message", encode[Message], decode[Message])
}

func encode[T any](value T) ([]byte, error) { return cbor.Marshal(value) }

func decode[T any](data []byte, value *T) error { return cbor.Unmarshal(data, value) }
