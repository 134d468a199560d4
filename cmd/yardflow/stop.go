package main

// This file owns a planned restart's end of a process.

import (
	"errors"
	"fmt"
	"net"
	"time"
)

// A planned restart in three steps. New connections are taken for lameDuck, as
// the front needs up to 0.4 s to notice. Clients at work keep their connections
// for half of what is left before the kill: while several dispatchers restart in
// turn, these may be the only way in. What is still out shortly before the kill
// is answered then, since the kill would lose it.
const (
	lameDuck   = 500 * time.Millisecond
	killMargin = 200 * time.Millisecond
)

// killAfter is the soonest that SIGKILL follows SIGTERM, by the longest deadline.
func killAfter(longest time.Duration) time.Duration {
	return min(longest, 3*time.Second) + 700*time.Millisecond
}

// stop ends the node as a planned restart asks, and answers all that was taken.
func (n *node) stop() error {
	n.mu.Lock() // no listener is added from here on
	longest := n.longest
	began, kill := time.Now(), killAfter(longest)
	n.front.Drain()
	n.mu.Unlock()
	if n.flows != nil {
		n.flows.Drain()
	}
	var errs []error
	over := n.peers.HasSuccessor()
	if over {
		// Another process has taken over and listens on the same socket: nothing new
		// is accepted here, and every answer is its connection's last.
		n.front.DisableKeepAlives()
		// What is out shortly before the kill is answered then: a reset would leave
		// the client to find out for itself.
		defer time.AfterFunc(kill-killMargin, n.broker.ExpireAll).Stop()
	} else {
		time.Sleep(lameDuck)
		n.reader.LimitDeadlines(began.Add(kill - killMargin))
	}
	for i, l := range n.listeners {
		end := l.Close
		if over && i == 0 { // the clients' socket, which the other process listens on too
			end = l.CloseNow
		}
		if err := end(); !errors.Is(err, net.ErrClosed) {
			errs = append(errs, err)
		}
	}
	stand := kill / 2
	if over {
		stand = kill - killMargin
	}
	for time.Since(began) < stand && n.guard.OpenConnections() > 0 {
		time.Sleep(5 * time.Millisecond)
	}
	// Every answer is its connection's last from here on, and the idle are closed by the guard.
	// The server's own ways (SetKeepAlivesEnabled, Shutdown) look and then close: a request that
	// is read between the two would be sent on and never answered.
	n.front.DisableKeepAlives()
	end := began.Add(longest + time.Second)
	for n.guard.OpenConnections()+n.guard.LingeringConnections() > 0 && time.Now().Before(end) {
		n.guard.CloseIdleConnections()
		time.Sleep(5 * time.Millisecond)
	}
	if open := n.guard.OpenConnections(); open > 0 {
		errs = append(errs, fmt.Errorf("%d connections stay open", open))
	}
	for _, server := range n.servers {
		if err := server.Close(); !errors.Is(err, net.ErrClosed) {
			errs = append(errs, err)
		}
	}
	if n.console != nil {
		n.console.Close()
	}
	n.peers.Close()
	n.unfollow()
	n.sources.Close()
	n.lines.CloseIdleConnections()
	if n.flows != nil {
		n.flows.WaitUntilIdle(began.Add(kill - killMargin))
	}
	n.broker.Close()
	if n.release != nil {
		n.release()
	}
	if n.talk != nil {
		n.talk.Close()
	}
	return errors.Join(errs...)
}
