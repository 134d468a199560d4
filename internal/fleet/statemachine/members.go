package statemachine

import "errors"

// Member is one coordinator as the leader sees it.
type Member struct {
	ID            uint64
	Addr          string // host:port
	Learner       bool   // it receives the log and has no vote
	Leader        bool   `cbor:"Leads" json:"Leads"`
	Active        bool   // it has sent a message of late
	EntriesBehind uint64 `cbor:"Behind" json:"Behind"` // entries of the log that it has not acknowledged
}

// ErrNotLeader is returned by a coordinator that does not lead where only the leader knows the answer.
var ErrNotLeader = errors.New("this coordinator is not the leader")

// ApplyMemberChange records that a coordinator was added, with its address, or removed for good.
func (s *State) ApplyMemberChange(id uint64, addr string, removed bool) {
	if s.Members == nil {
		s.Members, s.RemovedMembers = map[uint64]string{}, map[uint64]bool{}
	}
	if removed {
		delete(s.Members, id)
		s.RemovedMembers[id] = true
	} else {
		s.Members[id] = addr
	}
	s.Revision++
}
