package main

import (
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"yardflow/internal/gateway/config"
	"yardflow/internal/gateway/ssefront"
)

// listen opens the fronts.
func (n *node) listen() error {
	l, err := frontListener(n.cfg)
	if err != nil {
		return err
	}
	n.addr = n.serve(l, n.frontend.Server())
	if !n.cfg.SSE.Enabled {
		return nil
	}
	server := n.frontend.NewServer(ssefront.New(n.inForce, n.broker, n.workerConns, n.requestReader).ServeHTTP)
	l, err = net.Listen("tcp", n.cfg.SSE.Listen)
	switch {
	case err == nil:
		n.sseAddr = n.serve(l, server)
	case errors.Is(err, syscall.EADDRINUSE) && n.siblings.Count() > 0:
		// The process before has the port until it stops. That must not prevent an
		// upgrade: the first front serves, this one follows.
		log.Printf("event streams: %v; taken over once it is free", err)
		go n.serveOnceFree(n.cfg.SSE.Listen, server)
	default:
		return fmt.Errorf("sse.listen: %w", err)
	}
	return nil
}

// frontListener returns the clients' listening socket: the one that the platform
// holds and hands down, or else one of our own.
func frontListener(cfg *config.Config) (net.Listener, error) {
	if cfg.ListenFD == 0 {
		l, err := net.Listen("tcp", cfg.Listen)
		if err != nil {
			return nil, fmt.Errorf("NODE_LISTEN: %w", err)
		}
		return l, nil
	}
	file := os.NewFile(uintptr(cfg.ListenFD), "NODE_LISTEN_FD")
	defer file.Close() // FileListener duplicates the descriptor
	l, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("NODE_LISTEN_FD: %w", err)
	}
	if _, ok := l.(*net.TCPListener); !ok {
		l.Close()
		return nil, fmt.Errorf("NODE_LISTEN_FD: %v is no TCP socket", l.Addr())
	}
	return l, nil
}

// portRetryDelay is how often a port that is not free is tried again.
const portRetryDelay = 20 * time.Millisecond

// serveOnceFree serves at an address as soon as the process before has left it.
func (n *node) serveOnceFree(addr string, server *http.Server) {
	for !n.frontend.Draining() {
		if l, err := net.Listen("tcp", addr); err == nil {
			log.Printf("event streams: served on %s", n.serve(l, server))
			return
		}
		time.Sleep(portRetryDelay)
	}
}

// serve lets a server serve on a listener, both of which stop closes.
func (n *node) serve(l net.Listener, server *http.Server) net.Addr {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frontend.Draining() { // stop has begun: it would not close them
		l.Close()
		return l.Addr()
	}
	limited := n.connLimiter.Listen(l)
	n.servers, n.listeners = append(n.servers, server), append(n.listeners, limited)
	go func() {
		if err := server.Serve(limited); !errors.Is(err, http.ErrServerClosed) && !n.frontend.Draining() {
			n.failed <- err
		}
	}()
	return l.Addr()
}
