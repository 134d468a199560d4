package gossip

import (
	"testing"
	"time"

	"yardflow/internal/testing/wiretest"
)

// TestEncodingOfDatagramsDoesNotChange compares a datagram with a golden file written at commit b99a1ea, since dispatchers
// of different versions exchange datagrams.
func TestEncodingOfDatagramsDoesNotChange(t *testing.T) {
	sender, receiver := New(3, 9, 0x1234), New(4, 9, 1)
	datagram := sender.NextMessage(time.Second, []Usage{{WorkerHash: 0x010203, Slots: 2, Memory: 0.5}, {WorkerHash: 7, Slots: 1.5, Memory: 3}})
	wiretest.AssertBytes(t, "datagram", datagram)
	if !receiver.Receive(time.Second, datagram) {
		t.Fatal("the datagram is dropped")
	}
	if got := receiver.PeerUsage(time.Second, 0x010203); got != (PeerUsage{Slots: 2, Memory: 0.5}) {
		t.Errorf("peer usage %+v decoded from the datagram", got)
	}
}
