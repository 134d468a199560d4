package gossip

import (
	"testing"
	"time"

	"yardflow/internal/testing/wiretest"
)

// The golden file was written at b99a1ea: dispatchers of mixed versions exchange these datagrams.
func TestEncodingOfDatagramsDoesNotChange(t *testing.T) {
	sender, receiver := New(3, 9, 0x1234), New(4, 9, 1)
	datagram := sender.NextMessage(time.Second, []Usage{{WorkerHash: 0x010203, Slots: 2, Memory: 0.5}, {WorkerHash: 7, Slots: 1.5, Memory: 3}})
	wiretest.AssertBytes(t, "datagram", datagram)
	if !receiver.Receive(time.Second, datagram) {
		t.Fatal("the datagram is refused")
	}
	if got := receiver.PeerUsage(time.Second, 0x010203); got != (PeerUsage{Slots: 2, Memory: 0.5}) {
		t.Errorf("the datagram is read as %+v", got)
	}
}
