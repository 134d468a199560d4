package frame

import (
	"bufio"
	"encoding/binary"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// TestLargeMessageOnSlowLinkDoesNotTimeOut guards against a timeout that covers a whole message. A configuration of 1,480
// routes took longer than the timeout on a link of 2 Mbit/s, so every dispatcher closed its connection to its control
// machine.
func TestLargeMessageOnSlowLinkDoesNotTimeOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		conn := newConn(near, bufio.NewReader(near))
		defer conn.Close()
		const partCount, partBytes = 20, 1000
		go func() {
			write := func(data []byte) {
				if _, err := far.Write(data); err != nil {
					t.Error(err)
				}
			}
			write(binary.BigEndian.AppendUint32(nil, partCount*partBytes))
			for range partCount {
				time.Sleep(100 * time.Millisecond)
				write(make([]byte, partBytes))
			}
			time.Sleep(time.Second)
			far.SetDeadline(time.Now().Add(time.Millisecond))
			if _, err := far.Write([]byte{0}); err == nil { // part of a header, after the timeout
				t.Error("a byte was read after the timeout")
			}
		}()
		message, err := conn.Receive(150 * time.Millisecond)
		if err != nil || len(message) != partCount*partBytes {
			t.Fatalf("received %d bytes and error %v", len(message), err)
		}
		if _, err := conn.Receive(150 * time.Millisecond); err == nil {
			t.Error("no timeout between messages")
		}
		time.Sleep(2 * time.Second) // until the goroutine has tried to write its last byte
		far.Close()
	})
}

// TestSlowReaderGetsALargeBatch checks that a batch that takes longer than writeTimeout is written as long as the peer
// reads, and that the connection is closed once the peer stops reading.
func TestSlowReaderGetsALargeBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		conn := newConn(near, bufio.NewReader(near))
		conn.Send(make([]byte, 40*chunkBytes))
		buffer := make([]byte, chunkBytes)
		read := 0
		for read < 20*chunkBytes {
			time.Sleep(100 * time.Millisecond)
			n, err := far.Read(buffer)
			if err != nil {
				t.Fatalf("connection failed after %d bytes: %v", read, err)
			}
			read += n
		}
		time.Sleep(2 * writeTimeout)
		select {
		case <-conn.Closed():
		default:
			t.Error("the connection to a peer that reads nothing is not closed")
		}
		far.Close()
	})
}
