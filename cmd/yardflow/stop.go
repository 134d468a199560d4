package main

import (
	"errors"
	"fmt"
	"net"
	"time"
)

// A graceful shutdown in three steps. New connections are taken for lameDuck, as the
// platform's front needs up to 0.4 s to notice. Clients at work keep their connections
// for half of what is left before the kill: while several dispatchers restart in turn,
// these may be the only way in. What is in flight killMargin before the kill is answered
// then, since the kill would lose it.
const (
	lameDuck   = 500 * time.Millisecond
	killMargin = 200 * time.Millisecond
	// drainPoll is how often the connections that are left are counted.
	drainPoll = 5 * time.Millisecond
)

// killAfter is the soonest that the platform sends SIGKILL after SIGTERM, by the longest
// deadline of a request.
func killAfter(longestDeadline time.Duration) time.Duration {
	return min(longestDeadline, 3*time.Second) + 700*time.Millisecond
}

// shutdown is a graceful shutdown in progress.
type shutdown struct {
	node            *node
	began           time.Time
	longestDeadline time.Duration
	killed          time.Duration // after began
	// succeeded: another process has taken over and listens on the same socket.
	succeeded bool
	errs      []error
}

// stop ends the node gracefully: everything accepted is answered.
func (n *node) stop() error {
	s := &shutdown{node: n}
	n.mu.Lock() // no listener is added from here on
	s.began, s.longestDeadline = time.Now(), n.longestDeadline
	s.killed = killAfter(s.longestDeadline)
	n.frontend.Drain()
	n.mu.Unlock()
	if n.fleet != nil {
		n.fleet.workflows.Drain()
	}
	s.succeeded = n.siblings.HasSuccessor()
	if s.succeeded {
		// Nothing new is accepted here, and every answer is its connection's last.
		n.frontend.DisableKeepAlives()
		// What is in flight shortly before the kill is answered then: a reset would leave
		// the client to find out for itself.
		defer time.AfterFunc(s.killed-killMargin, n.broker.ExpireAll).Stop()
	} else {
		time.Sleep(lameDuck)
		n.requestReader.LimitDeadlines(s.beforeKill())
	}
	s.closeListeners()
	s.drainConnections()
	s.closeParts()
	return errors.Join(s.errs...)
}

// beforeKill is the moment by which everything has to be answered.
func (s *shutdown) beforeKill() time.Time { return s.began.Add(s.killed - killMargin) }

func (s *shutdown) closeListeners() {
	for i, l := range s.node.listeners {
		end := l.Close
		if s.succeeded && i == 0 { // the clients' socket, which the other process listens on too
			end = l.CloseNow
		}
		if err := end(); !errors.Is(err, net.ErrClosed) {
			s.errs = append(s.errs, err)
		}
	}
}

// drainConnections lets clients end their connections, then ends the idle ones, and waits
// for the rest until every request that was accepted has met its deadline.
func (s *shutdown) drainConnections() {
	conns := s.node.connLimiter
	keepUntil := s.killed / 2
	if s.succeeded {
		keepUntil = s.killed - killMargin
	}
	for time.Since(s.began) < keepUntil && conns.OpenConnections() > 0 {
		time.Sleep(drainPoll)
	}
	// Every answer is its connection's last from here on, and connLimiter closes the idle.
	// http.Server's own ways (SetKeepAlivesEnabled, Shutdown) look and then close: a
	// request that is read between the two would be dispatched and never answered.
	s.node.frontend.DisableKeepAlives()
	end := s.began.Add(s.longestDeadline + time.Second)
	for conns.OpenConnections()+conns.LingeringConnections() > 0 && time.Now().Before(end) {
		conns.CloseIdleConnections()
		time.Sleep(drainPoll)
	}
	if open := conns.OpenConnections(); open > 0 {
		s.errs = append(s.errs, fmt.Errorf("%d connections stay open", open))
	}
	for _, server := range s.node.servers {
		if err := server.Close(); !errors.Is(err, net.ErrClosed) {
			s.errs = append(s.errs, err)
		}
	}
}

// closeParts closes what the node started, each before what it uses.
func (s *shutdown) closeParts() {
	n := s.node
	if n.console != nil {
		n.console.Close()
	}
	n.siblings.Close()
	n.stopTable()
	n.sources.Close()
	n.workerConns.CloseIdleConnections()
	if n.fleet != nil {
		n.fleet.workflows.WaitUntilIdle(s.beforeKill())
	}
	n.broker.Close()
	if n.fleet != nil {
		n.fleet.stop()
	}
	if n.datagrams != nil {
		_ = n.datagrams.Close() // a datagram socket has nothing pending
	}
}
