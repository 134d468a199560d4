package server

import (
	"maps"
	"slices"
	"time"

	"yardflow/coordination/chain"
	"yardflow/internal/control/protocol"
	"yardflow/internal/control/statemachine"
)

// request is a command on its way through the chain.
type request struct {
	data    []byte
	read    bool
	command *statemachine.Command
	from    *dispatcher               // whose command it is; nil: this machine's own or an operator's
	done    func(statemachine.Result) // called by the engine
	sentAt  time.Duration
}

func (s *Server) answer(tag uint64, result statemachine.Result) {
	if waiting := s.pending[tag]; waiting != nil {
		delete(s.pending, tag)
		waiting.done(result)
	}
}

func (s *Server) answerRead(read chain.Read) {
	if waiting := s.pending[read.Tag]; waiting != nil {
		s.answer(read.Tag, s.cluster.Apply(waiting.command))
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
	s.nextTag++
	waiting := &request{data: data, command: command, read: command.IsRead(), from: from, done: done, sentAt: s.now()}
	s.pending[s.nextTag] = waiting
	s.propose(s.nextTag, waiting)
}

// abandon gives up all commands without an outcome: this member has lost the majority, or its place in the
// chain. Whoever waits is told that the outcome is unknown. On its return the member proposes nothing that has
// grown old meanwhile.
func (s *Server) abandon() {
	given := s.pending
	s.pending, s.outgoing = map[uint64]*request{}, nil
	for _, waiting := range given {
		if waiting.from == nil {
			waiting.done(statemachine.Result{Code: statemachine.Unknown})
		}
	}
}

// forgetRequests gives up the commands of a dispatcher that is connected here no more.
func (s *Server) forgetRequests(d *dispatcher) {
	for tag, waiting := range s.pending {
		if waiting.from == d {
			delete(s.pending, tag)
		}
	}
}

func (s *Server) propose(tag uint64, r *request) {
	proposal := chain.Proposal{Origin: s.register.Self().ID, Tag: tag, Read: r.read}
	if !r.read {
		proposal.Data = r.data
	}
	r.sentAt = s.now()
	s.outgoing = append(s.outgoing, proposal)
}

// resend proposes anew what has been without an outcome for so long, in the order in which it came in.
func (s *Server) resend(after time.Duration) {
	for _, tag := range slices.Sorted(maps.Keys(s.pending)) {
		if waiting := s.pending[tag]; s.now()-waiting.sentAt >= after {
			s.propose(tag, waiting)
		}
	}
}

// forward hands what waits to the head.
func (s *Server) forward() {
	if len(s.outgoing) == 0 {
		return
	}
	proposals := s.outgoing
	s.outgoing = nil
	if s.replica.Propose(proposals) {
		return
	}
	if head := s.replica.Head(); head != 0 {
		s.peers.send(head, &protocol.PeerMessage{ForwardedProposals: proposals})
	}
}
