package server

import (
	"maps"
	"slices"
	"time"

	"yardflow/coordination/chain"
	"yardflow/internal/control/protocol"
	"yardflow/internal/control/statemachine"
)

// pendingCommand is a command on its way through the chain.
type pendingCommand struct {
	encoded    []byte
	isRead     bool
	command    *statemachine.Command
	issuer     *dispatcher               // whose command it is; nil: this machine's own or an operator's
	onResult   func(statemachine.Result) // called by the engine
	proposedAt time.Duration
}

func (s *Server) complete(tag uint64, result statemachine.Result) {
	if waiting := s.pending[tag]; waiting != nil {
		delete(s.pending, tag)
		waiting.onResult(result)
	}
}

func (s *Server) completeRead(read chain.Read) {
	if waiting := s.pending[read.Tag]; waiting != nil {
		s.complete(read.Tag, s.cluster.Apply(waiting.command))
	}
}

// submit sends a command through the chain. It is sent again until it has an outcome, so
// every command must be one that may be carried out twice.
func (s *Server) submit(command *statemachine.Command, done func(statemachine.Result)) {
	s.submitFor(nil, command, protocol.Encode(command), done)
}

// submitFor sends a dispatcher's command through the chain. The dispatcher sends it again itself once it has
// another connection, so nothing of it is kept here after that.
func (s *Server) submitFor(from *dispatcher, command *statemachine.Command, data []byte, done func(statemachine.Result)) {
	s.lastTag++
	waiting := &pendingCommand{encoded: data, command: command, isRead: command.IsRead(), issuer: from, onResult: done, proposedAt: s.now()}
	s.pending[s.lastTag] = waiting
	s.propose(s.lastTag, waiting)
}

// abandon gives up all commands without an outcome: this member has lost the majority, or its place in the
// chain. Whoever waits is told that the outcome is unknown. On its return the member proposes nothing that has
// grown old meanwhile.
func (s *Server) abandon() {
	given := s.pending
	s.pending, s.proposals = map[uint64]*pendingCommand{}, nil
	for _, waiting := range given {
		if waiting.issuer == nil {
			waiting.onResult(statemachine.Result{Code: statemachine.Unknown})
		}
	}
}

// forgetIssuer gives up the commands of a dispatcher that is connected here no more.
func (s *Server) forgetIssuer(d *dispatcher) {
	for tag, waiting := range s.pending {
		if waiting.issuer == d {
			delete(s.pending, tag)
		}
	}
}

func (s *Server) propose(tag uint64, r *pendingCommand) {
	proposal := chain.Proposal{Origin: s.register.Self().ID, Tag: tag, Read: r.isRead}
	if !r.isRead {
		proposal.Data = r.encoded
	}
	r.proposedAt = s.now()
	s.proposals = append(s.proposals, proposal)
}

// repropose proposes anew what has been without an outcome for so long, in the order in which it came in.
func (s *Server) repropose(after time.Duration) {
	for _, tag := range slices.Sorted(maps.Keys(s.pending)) {
		if waiting := s.pending[tag]; s.now()-waiting.proposedAt >= after {
			s.propose(tag, waiting)
		}
	}
}

// forward hands what waits to the head.
func (s *Server) forward() {
	if len(s.proposals) == 0 {
		return
	}
	proposals := s.proposals
	s.proposals = nil
	if s.replica.Propose(proposals) {
		return
	}
	if head := s.replica.Head(); head != 0 {
		s.peers.send(head, &protocol.PeerMessage{ForwardedProposals: proposals})
	}
}
