package server

import "time"

// Intervals of the engine's periodic work.
const (
	// tickInterval is the interval of heartbeats and of all periodic checks.
	tickInterval = 100 * time.Millisecond
	// retransmitTicks is the number of ticks without progress of the successor in the chain after which all entries that
	// the successor has not acknowledged are sent again.
	retransmitTicks = 4
)

// now returns the time on the server's monotonic clock, which starts at 0 when the server is opened.
func (s *Server) now() time.Duration { return time.Since(s.startedAt) }

// do passes a function to the engine. It blocks while the inbox is full. Once the engine has ended, it drops the
// function.
func (s *Server) do(f func()) {
	select {
	case s.inbox <- f:
	case <-s.ended:
	}
}

// Run runs the engine until stop is closed. It must be called only once. When it returns, the heartbeat goroutine ends,
// the disk's goroutine ends after the write in progress, and the goroutines of connections end with their connections,
// which the owner of the listener and the peers close.
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
			s.drainInbox() // messages that arrived while the engine was busy count before the tick checks who is silent
			s.tick()
		case <-stop:
			return
		}
		s.flush()
	}
}

// drainInbox calls the functions that wait in the inbox, at most as many as its capacity, so that one flush and one disk
// sync cover all of them.
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

// flush executes the actions that the view agreement and the replica have requested until there are none left, and then
// sends pending updates and outcomes to dispatchers.
func (s *Server) flush() {
	s.forwardProposals()
	for s.flushConsensus() || s.flushReplica() {
	}
	s.disconnectWithoutSessions()
	s.deliver()
}

// tick does the periodic work. A machine that is not a chain member with a quorum disconnects its dispatchers and
// abandons its commands before the tick sends dispatchers anything.
func (s *Server) tick() {
	now := s.now()
	s.trackSessions(now)
	s.membership.consensus.Tick()
	s.replica.Tick(retransmitTicks)
	s.peers.redial()
	s.commands.repropose(resubmitAfter)
	s.sendHeartbeat()
	s.logDivergence()
	s.trackCompleteness()
	s.proposeView()
	s.logObstacle(now)
	s.requestCatchUpFromChain()
	if !s.isMemberWithQuorum() {
		s.disconnectDispatchers()
		s.commands.abandon()
	}
	s.readInstanceList(now)
	s.sendIdleHeartbeats()
	s.scheduleDigests()
	s.adjustRules(now)
	if s.replica.IsHead() && s.replica.IsServing() {
		s.headTick(now)
	}
	s.saveSnapshotIfDue()
	s.probeDisk()
}
