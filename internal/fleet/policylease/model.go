package policylease

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"time"

	"yardflow/internal/fleet/statemachine"
)

// modelStep is by how much time passes in one event: half a lease.
const modelStep = 500 * time.Millisecond

// Bounds of the model's events, which keep the number of its states finite.
const (
	maxModelTime      = 10 * modelStep // real time that passes
	maxModelProposals = 2
	maxModelUpdates   = 4 // updates of watches
	maxModelRequests  = 8 // lease requests of one holder, not counting those that an answer asks for
)

// model is one state of the explored system: the coordinators as one replicated state, holders, and the network.
type model struct {
	state      *statemachine.State
	now        time.Duration      // real time, which every holder's clock shows
	unreadTime time.Duration      // real time that the leading coordinator has not read off its clock yet
	tick       *statemachine.Tick // a reading of the clock on its way into the log
	holders    []modelHolder
	inFlight   []message
	proposals  int
	updates    int
}

// modelHolder is a dispatcher in the model.
type modelHolder struct {
	half      Holder
	awaiting  uint64    // the Seq of the request whose answer it waits for; 0: none
	lastCheck Admission // at its latest event, for ActsOnOldCheck
	released  bool
	requests  int
}

// message is on its way: a command to the coordinators, an answer to a holder, or an update of its watch.
type message struct {
	holder    int // that sent the command, or receives the answer or update
	command   statemachine.Command
	seq       uint64        // of the request
	requested time.Duration // when the holder sent it
	answer    *statemachine.Result
	update    *statemachine.WatchUpdate
}

// newModel returns the state from which the exploration starts: all holders have a lease under version 0, since every
// way there is one of the later ones as well.
func newModel(holders int) *model {
	m := &model{state: statemachine.New(statemachine.Config{LeaseDuration: 2 * modelStep, VoteTimeout: 4 * modelStep,
		OnLeaseLoss: statemachine.RefuseWork, PolicyHistory: 4})}
	for i := range holders {
		m.holders = append(m.holders, modelHolder{half: *New(fmt.Sprint("n", i), uint64(i+1), "", statemachine.RefuseWork)})
	}
	for i := range m.holders {
		h := &m.holders[i]
		request := h.half.NextRequest(0)
		h.half.HandleResult(0, m.state.Apply(statemachine.Command{LeaseRequest: &request}))
		h.lastCheck = h.half.Admission(0)
	}
	return m
}

// copyOf copies a value by the codec of the log and the network, as it would travel.
func copyOf[T any](value T) *T {
	encoded, err := statemachine.Encode(value)
	if err != nil {
		panic(err)
	}
	out := new(T)
	if err := statemachine.Decode(encoded, out); err != nil {
		panic(err)
	}
	return out
}

func (m *model) clone() *model {
	snapshot, err := m.state.Snapshot()
	if err != nil {
		panic(err)
	}
	state, err := statemachine.Restore(snapshot)
	if err != nil {
		panic(err)
	}
	out := *m
	out.state, out.holders, out.inFlight = state, slices.Clone(m.holders), slices.Clone(m.inFlight)
	return &out
}

// hash tells states apart.
func (m *model) hash() [32]byte {
	h := sha256.New()
	snapshot, _ := m.state.Snapshot()
	h.Write(snapshot)
	fmt.Fprint(h, m.now, m.unreadTime, m.tick, m.holders, m.proposals, m.updates)
	for _, msg := range m.inFlight {
		for _, part := range []any{msg.command, msg.answer, msg.update} {
			encoded, _ := statemachine.Encode(part)
			h.Write(encoded)
		}
		fmt.Fprint(h, msg.holder, msg.seq, msg.requested)
	}
	return [32]byte(h.Sum(nil))
}

// violation says which holders admit work under different versions at this moment; empty where none do.
func (m *model) violation(fault Fault) string {
	var serving []string
	version, different := uint64(0), false
	for i := range m.holders {
		admission := m.admission(&m.holders[i], fault)
		if !admission.Allowed {
			continue
		}
		if len(serving) > 0 && admission.Version != version {
			different = true
		}
		version = admission.Version
		serving = append(serving, fmt.Sprintf("n%d admits under %d", i, version))
	}
	if !different {
		return ""
	}
	return strings.Join(serving, " and ")
}

// admission is what a holder does now, with the fault planted into it.
func (m *model) admission(h *modelHolder, fault Fault) Admission {
	admission := h.half.Admission(m.now)
	if fault == ActsOnOldCheck {
		admission = h.lastCheck
	}
	if fault == ServesAfterRelease && h.released {
		admission.Allowed = true
	}
	return admission
}
