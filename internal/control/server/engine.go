package server

import "time"

// Intervals of the engine.
const (
	// tickInterval is the pace of heartbeats and of all that is checked from time to time.
	tickInterval = 100 * time.Millisecond
	// retransmitTicks is how many ticks the successor in the chain may make no progress before everything that it has
	// not acknowledged is sent again.
	retransmitTicks = 4
)

// now returns the time on the server's monotonic clock, which starts at 0 when the server is opened.
func (s *Server) now() time.Duration { return time.Since(s.startedAt) }

// do hands a function to the engine. It blocks while the inbox is full; once the engine has ended, the function is
// dropped.
func (s *Server) do(f func()) {
	select {
	case s.inbox <- f:
	case <-s.ended:
	}
}

// Run carries the engine until stop is closed; it must be called once. On its return the goroutine of heartbeats ends,
// that of the disk as soon as the write in progress is done, and those of connections when their connection does: the owner
// of the listener and the peers close these.
func (s *Server) Run(stop <-chan struct{}) {
	defer s.disk.close()
	defer s.instanceList.client.Close()
	defer close(s.ended)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	s.peers.add(s.settings.Seeds)
	s.peers.add(addressesOf(s.membership.view().Electors))
	s.peers.redial()
	go s.heartbeats.run(s.now, s.ended)
	for {
		select {
		case f := <-s.inbox:
			f()
			s.drainInbox()
		case <-ticker.C:
			s.drainInbox() // before the tick judges who is silent: what has come during a long piece of work counts
			s.tick()
		case <-stop:
			return
		}
		s.flush()
	}
}

// drainInbox takes in what else waits, at most one inbox full, so that one flush and one sync of the disk serve all of it.
func (s *Server) drainInbox() {
	for range cap(s.inbox) {
		select {
		case f := <-s.inbox:
			f()
		default:
			return
		}
	}
}

// flush carries out what the pure parts want done, until they want no more, and then sends dispatchers what is new.
func (s *Server) flush() {
	s.forwardProposals()
	for s.flushConsensus() || s.flushReplica() {
	}
	s.disconnectWithoutSessions()
	s.deliver()
}

// tick does what is due at a steady pace. A member on the wrong side of a network partition lets go of its dispatchers and
// commands before anything is sent to them.
func (s *Server) tick() {
	now := s.now()
	s.sessions.ticked(now)
	s.membership.consensus.Tick()
	s.replica.Tick(retransmitTicks)
	s.peers.redial()
	s.commands.repropose(resubmitAfter)
	s.sendHeartbeat()
	s.logDivergence()
	s.proposeView()
	s.requestCatchUpFromChain()
	if !s.isMemberWithQuorum() {
		s.disconnectDispatchers()
		s.commands.abandon()
	}
	s.readInstanceList(now)
	s.sendIdleHeartbeats()
	if s.replica.IsHead() && s.replica.IsServing() {
		s.headTick(now)
	}
	s.saveSnapshotIfDue()
	s.probeDisk()
}
