package policylease

import (
	"fmt"
	"slices"

	"yardflow/internal/fleet/coldstart/relay"
	"yardflow/internal/fleet/statemachine"
)

// event is something that can happen next in the model.
type event struct {
	name   string
	weight int // of being taken on a random walk, relative to the other events
	apply  func(m *model)
}

// events are all that can happen next, in an order on which the random walks depend.
func (m *model) events(fault Fault) []event {
	events := m.clockEvents(fault)
	if m.proposals < maxModelProposals {
		events = append(events, event{"a change is proposed", 2, (*model).propose})
	}
	for i := range m.holders {
		events = append(events, m.holderEvents(i, fault)...)
	}
	events = append(events, m.watchEvents()...)
	for j := range m.inFlight {
		events = append(events, m.deliveryEvents(j, fault)...)
	}
	return events
}

// clockEvents are the passing of real time, and how the coordinators' time follows it.
func (m *model) clockEvents(fault Fault) (events []event) {
	if m.now < maxModelTime {
		events = append(events, event{"time passes", 2, func(m *model) { m.now += modelStep; m.unreadTime += modelStep }})
	}
	if m.unreadTime > 0 && m.tick == nil {
		events = append(events,
			event{"the leader reads its clock", 4, func(m *model) { m.readClock(fault) }},
			event{"a new leader counts anew", 1, func(m *model) { m.changeLeader(fault) }})
	}
	if m.tick != nil {
		events = append(events, event{"the leader's tick is applied", 4, func(m *model) { m.applyTick(fault) }})
	}
	return events
}

func (m *model) readClock(fault Fault) {
	m.tick = &statemachine.Tick{Elapsed: m.unreadTime, GrantsSeen: m.state.GrantCount}
	if fault == FastCoordinatorClock {
		m.tick.Elapsed *= 2
	}
	m.unreadTime = 0
}

func (m *model) changeLeader(fault Fault) {
	m.unreadTime, m.tick = 0, nil
	if fault == LeaderForgetsLeases {
		m.forgetLeases()
	}
}

func (m *model) applyTick(fault Fault) {
	tick := *m.tick
	if fault == CountsTimeBeforeGrant {
		tick.GrantsSeen = m.state.GrantCount
	}
	m.state.Apply(statemachine.Command{Tick: &tick})
	m.tick = nil
}

// forgetLeases plants a fault into the coordinators: they take every lease to have ended.
func (m *model) forgetLeases() {
	for _, h := range m.state.Holders {
		h.LeaseExpiry, h.PendingGrant = 0, 0
	}
	m.state.Apply(statemachine.Command{Tick: &statemachine.Tick{}})
}

func (m *model) propose() {
	m.proposals++
	m.state.Apply(statemachine.Command{Proposal: &statemachine.Proposal{ID: fmt.Sprint("c", m.proposals),
		Text: []byte{byte(m.proposals)}, BaseVersion: m.state.CurrentPolicy().Version, Author: "me"}})
}

// holderEvents are what one holder may do of its own accord.
func (m *model) holderEvents(i int, fault Fault) (events []event) {
	h := &m.holders[i]
	if h.awaiting != 0 {
		return []event{{fmt.Sprintf("n%d gives up waiting", i), 1, func(m *model) { m.holders[i].awaiting = 0 }}}
	}
	if h.released || h.requests >= maxModelRequests {
		return nil
	}
	events = append(events, event{fmt.Sprintf("n%d asks", i), 4, func(m *model) { m.request(i, fault) }})
	if i == 0 {
		events = append(events, event{"n0 releases its lease", 1, func(m *model) { m.release(i) }})
	}
	return events
}

func (m *model) request(i int, fault Fault) {
	h := &m.holders[i]
	request := h.half.NextRequest(m.now)
	if fault == ReportsNotServing {
		request.ServingVersion = 0
	}
	h.lastCheck = h.half.Admission(m.now)
	h.requests++
	h.awaiting = request.Seq
	m.inFlight = append(m.inFlight, message{holder: i, command: statemachine.Command{LeaseRequest: &request}, seq: request.Seq, requested: m.now})
}

func (m *model) release(i int) {
	h := &m.holders[i]
	release := h.half.Release()
	h.released = true
	h.lastCheck = h.half.Admission(m.now)
	m.state.Apply(statemachine.Command{LeaseRelease: &release})
}

// watchEvents are updates that watches read now; they may arrive much later.
func (m *model) watchEvents() (events []event) {
	if m.updates >= maxModelUpdates || m.state.Change == nil {
		return nil
	}
	for i := range m.holders {
		name := fmt.Sprintf("n%d's watch sees revision %d", i, m.state.Revision)
		events = append(events, event{name, 2, func(m *model) {
			update := copyOf(m.state.UpdateFor(m.holders[i].half.policy.Version, 0, relay.Watermark{}))
			m.updates++
			m.inFlight = append(m.inFlight, message{holder: i, update: update})
		}})
	}
	return events
}

// deliveryEvents are the arrivals of message j; none of them means that it is lost or late.
func (m *model) deliveryEvents(j int, fault Fault) []event {
	msg := m.inFlight[j]
	switch {
	case msg.update != nil:
		name := fmt.Sprintf("n%d is notified of revision %d", msg.holder, msg.update.Revision)
		return []event{{name, 4, func(m *model) { m.deliverUpdate(j, fault) }}}
	case msg.answer != nil:
		name := fmt.Sprintf("n%d receives the answer to message %d", msg.holder, msg.seq)
		return []event{{name, 6, func(m *model) { m.deliverAnswer(j, fault) }}}
	case msg.command.Vote != nil:
		name := fmt.Sprintf("n%d's vote on the change arrives", msg.holder)
		return []event{{name, 4, func(m *model) { m.deliverCommand(j, false, fault) }}}
	}
	name := fmt.Sprintf("n%d's message %d arrives", msg.holder, msg.seq)
	return []event{
		{name, 4, func(m *model) { m.deliverCommand(j, false, fault) }},
		{name + ", and stays to arrive again", 1, func(m *model) { m.deliverCommand(j, true, fault) }},
	}
}

// takeMessage removes message j from the network. Other states share the slice's array, so it is copied.
func (m *model) takeMessage(j int) message {
	msg := m.inFlight[j]
	m.inFlight = slices.Delete(slices.Clone(m.inFlight), j, j+1)
	return msg
}

// deliverCommand applies a command; its answer is sent where a holder still waits for it.
func (m *model) deliverCommand(j int, duplicate bool, fault Fault) {
	msg := m.inFlight[j]
	if !duplicate {
		m.takeMessage(j)
	}
	command := msg.command
	if command.LeaseRequest != nil && fault == AcceptsStaleMessages {
		request := *command.LeaseRequest
		if known := m.state.Holders[fmt.Sprintf("%s/%d", request.Name, request.Incarnation)]; known != nil {
			request.Seq = max(request.Seq, known.Seq+1)
		}
		command.LeaseRequest = &request
	}
	result := m.state.Apply(command)
	if fault == SkipsClosing && m.state.Change != nil && m.state.Change.Stage == statemachine.Closing {
		m.forgetLeases()
	}
	if command.LeaseRequest != nil && m.holders[msg.holder].awaiting == msg.seq {
		m.inFlight = append(m.inFlight, message{holder: msg.holder, seq: msg.seq, requested: msg.requested, answer: copyOf(result)})
	}
}

func (m *model) deliverAnswer(j int, fault Fault) {
	msg := m.takeMessage(j)
	h := &m.holders[msg.holder]
	if h.awaiting != msg.seq {
		return // it has given up waiting
	}
	h.awaiting = 0
	requested := msg.requested
	if fault == LeaseCountsFromAnswer {
		requested = m.now
	}
	m.act(msg.holder, h.half.HandleResult(requested, *msg.answer), fault)
}

func (m *model) deliverUpdate(j int, fault Fault) {
	msg := m.takeMessage(j)
	if h := &m.holders[msg.holder]; !h.released {
		m.act(msg.holder, h.half.HandleUpdate(*msg.update), fault)
	}
}

// act does what the holder's half leaves to its caller. A request that it asks for does not count against the bound.
func (m *model) act(i int, actions Actions, fault Fault) {
	h := &m.holders[i]
	if actions.ApplyPolicy != nil {
		h.half.PolicyApplied(*actions.ApplyPolicy)
		h.requests--
	}
	if actions.CheckChange != nil {
		vote := h.half.Vote(actions.CheckChange, "")
		m.inFlight = append(m.inFlight, message{holder: i, command: statemachine.Command{Vote: &vote}, requested: m.now})
		if fault == AppliesEarly {
			h.half.policy = actions.CheckChange.Policy
		}
	}
	h.lastCheck = h.half.Admission(m.now)
	if actions.RequestAgain {
		h.requests--
	}
}
