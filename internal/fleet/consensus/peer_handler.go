package consensus

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/encoding/protodelim"
)

// PeerPath is the HTTP path at which the members of a fleet send each other messages of raft (POST) and ask how far a
// member's log reached (GET, with its number as "of").
const PeerPath = "/v1/raft"

// Headers of each call between members.
const (
	headerFleet      = "X-Fleet"
	headerGeneration = "X-Generation"
)

// setHeaders marks a call as one of this fleet's members, and of which generation of them (see store.generation).
func (n *Node) setHeaders(h http.Header) {
	h.Set(headerFleet, n.cfg.Fleet)
	h.Set(headerGeneration, strconv.FormatUint(n.store.generation.Load(), 10))
}

// ServeHTTP takes the calls of other members. Another fleet's, or another generation's, is rejected with 403.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if status, err := n.authorize(r.Header); err != nil {
		http.Error(w, err.Error(), status)
		return
	}
	if r.Method == http.MethodGet {
		n.serveProgress(w, r)
		return
	}
	if err := n.receive(w, r); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

// authorize returns the error, with its status, for a call that is not of this fleet's and generation's members. A
// member that joins takes over the generation of the first that calls it.
func (n *Node) authorize(h http.Header) (status int, err error) {
	if fleet := h.Get(headerFleet); fleet != n.cfg.Fleet {
		return http.StatusForbidden, fmt.Errorf("fleet %q; this coordinator's is %q", fleet, n.cfg.Fleet)
	}
	generation, err := strconv.ParseUint(h.Get(headerGeneration), 10, 64)
	if own := n.store.generation.Load(); err == nil && own == 0 {
		err = n.store.joinGeneration(generation)
	} else if generation != own {
		return http.StatusForbidden, fmt.Errorf("generation %d; this coordinator is of %d: the fleet was restored from a folder since", generation, own)
	}
	return http.StatusBadRequest, err
}

// serveProgress answers a member that asks how far its log reached, as term and index.
func (n *Node) serveProgress(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.FormValue("of"), 10, 64) // of no member: 0 and 0
	n.mu.Lock()
	position := n.progress[id]
	n.mu.Unlock()
	fmt.Fprintln(w, position.term, position.index)
}

// receive hands the messages of one call to raft, in their order, up to the first that is not for it.
func (n *Node) receive(w http.ResponseWriter, r *http.Request) error {
	in := bufio.NewReader(http.MaxBytesReader(w, r.Body, maxMessageBytes))
	for {
		m := &raftpb.Message{}
		err := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}.UnmarshalFrom(in, m)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if m.GetTo() != n.cfg.MemberID || raft.IsLocalMsg(m.GetType()) {
			return fmt.Errorf("message of type %v for member %d", m.GetType(), m.GetTo())
		}
		n.recordProgress(m)
		if err := n.raft.Step(r.Context(), m); err != nil {
			return err
		}
	}
}
