package emulator

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"
)

// net/http closes idle connections under a lock of its transport. A close that waited in a frozen process made the
// goroutines that wait for the lock keep virtual time from passing, and the schedule stood still for good.
func TestCloseInAFrozenProcessWaitsForNobodyAndIsSeenWhenItGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := NewNetwork()
		listener, err := network.Machine("far").Listen("far:1")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		near, err := network.Machine("near").Dial("far:1", time.Second)
		if err != nil {
			t.Fatal(err)
		}
		far, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		thaw := network.Freeze("near")
		closed := make(chan struct{})
		go func() {
			_ = near.Close()
			close(closed)
		}()
		synctest.Wait()
		select {
		case <-closed:
		default:
			t.Error("a close waits in the frozen process")
		}
		wantReadTimeout(t, far)
		thaw()
		<-closed
		_ = far.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := far.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("the other end reads %v after the thaw", err)
		}
	})
}

// wantReadTimeout requires that nothing comes on a connection within a second, not even its end.
func wantReadTimeout(t *testing.T, conn net.Conn) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	_, err := conn.Read(make([]byte, 1))
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the other end reads %v while the process is frozen", err)
	}
}
