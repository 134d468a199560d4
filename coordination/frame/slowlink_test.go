package frame

import (
	"bufio"
	"encoding/binary"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// TestLargeMessageOnASlowLinkIsNoSilence keeps a fault that a configuration of 1,480 routes showed: it took longer
// on a link of 2 Mbit/s than a side may be silent, and every dispatcher gave its control machine up.
func TestLargeMessageOnASlowLinkIsNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		conn := newConn(near, bufio.NewReader(near))
		defer conn.Close()
		const parts, part = 20, 1000
		go func() {
			write := func(data []byte) {
				if _, err := far.Write(data); err != nil {
					t.Error(err)
				}
			}
			write(binary.BigEndian.AppendUint32(nil, parts*part))
			for range parts {
				time.Sleep(100 * time.Millisecond)
				write(make([]byte, part))
			}
			time.Sleep(time.Second)
			far.SetDeadline(time.Now().Add(time.Millisecond))
			if _, err := far.Write([]byte{0}); err == nil { // a part of a header, too late
				t.Error("a byte was taken after the silence")
			}
		}()
		message, err := conn.Receive(150 * time.Millisecond)
		if err != nil || len(message) != parts*part {
			t.Fatalf("%d bytes, %v", len(message), err)
		}
		if _, err := conn.Receive(150 * time.Millisecond); err == nil {
			t.Error("silence between messages is not noticed")
		}
		time.Sleep(2 * time.Second) // until the other side has written its last byte
		far.Close()
	})
}

// TestSlowReaderGetsALargeBatch keeps that a batch which takes longer than a write may is written on while the
// other side takes bytes, and is given up once it takes none.
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
				t.Fatalf("given up after %d bytes: %v", read, err)
			}
			read += n
		}
		time.Sleep(2 * writeTimeout)
		select {
		case <-conn.Closed():
		default:
			t.Error("a side that takes nothing is not given up")
		}
		far.Close()
	})
}
