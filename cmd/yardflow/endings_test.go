package main

import (
	"fmt"
	"net"
	"strings"
	"testing"

	"yardflow/internal/gateway/config"
	"yardflow/internal/testing/standin/script"
)

// A request that is half written when SIGTERM comes, and one that comes behind it on the same
// connection, are answered, though the listener is closed by then; so is one on a connection that
// was accepted and had said nothing. A reload in the middle of it disturbs nothing.
func TestRequestsThatCompleteAfterSIGTERMAreAnswered(t *testing.T) {
	s := newTestbed(t)
	s.step("list", "s-1 SERVING\ns-2 SERVING")
	s.step("client a sends", fmt.Sprintf(job, "before"))
	s.nextDispatch().answerDone("before")
	s.clients["a"].answer(t)
	whole := strings.ReplaceAll(job, "\n", "\r\n")
	whole = strings.Replace(whole, "X-Timeout: 5\r\n", "X-Timeout: 5\r\nContent-Length: 1\r\n", 1)
	pieces, silent := script.Dial(t, s.node.addr), script.Dial(t, s.node.addr)
	first := fmt.Sprintf(whole, "pieces")
	pieces.Send(first[:40])
	waitUntil(t, "three connections are open", func() bool { return s.node.connLimiter.OpenConnections() >= 3 })
	stopped := make(chan error, 1)
	go func() { stopped <- s.node.stop() }()
	waitUntil(t, "the node drains", s.node.frontend.Draining)
	s.node.reload(func() (*config.Config, error) { return s.node.cfg, nil })
	waitUntil(t, "the node listens no more", func() bool {
		conn, err := net.Dial("tcp", s.node.addr.String())
		if err == nil {
			conn.Close()
		}
		return err != nil
	})
	pieces.Send(first[40:] + fmt.Sprintf(whole, "behind"))
	silent.Send(fmt.Sprintf(whole, "late"))
	for range 3 {
		call := s.nextDispatch()
		id := ""
		for _, id = range []string{"pieces", "behind", "late"} {
			if strings.Contains(call.head, id) {
				break
			}
		}
		call.answerDone(id)
	}
	for _, c := range []*script.Client{pieces, pieces, silent} {
		if status, _ := c.Answer(); status != 200 {
			t.Error("status", status)
		}
	}
	for _, c := range []*script.Client{pieces, silent} {
		if inOrder, rest := c.End(); !inOrder || rest != "" {
			t.Errorf("the connection ends in order: %t, after %q", inOrder, rest)
		}
	}
	wantStopInOrder(t, stopped)
}
