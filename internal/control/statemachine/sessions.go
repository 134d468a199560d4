package statemachine

import "slices"

// openSession opens a session for a life of a node's process, or finds the one that it has. One that is sent
// behind another session than the node's newest is late, and refused with the newest.
func (f *FSM) openSession(command *OpenSession) Result {
	for _, id := range f.sessionIDs() {
		session := f.Sessions[id]
		if session.Node != command.Node {
			continue
		}
		if session.Incarnation == command.Incarnation {
			return Result{Session: id}
		}
	}
	if newest := f.LatestSession(command.Node); newest != command.ExpectedLatest {
		return Result{Code: Conflict, Session: newest}
	}
	for _, id := range f.sessionIDs() {
		if f.Sessions[id].Node == command.Node {
			defer f.closeSession(id) // after the new one is open, so that what it owned can pass to it
		}
	}
	f.LastSessionID++
	id := f.LastSessionID
	f.Sessions[id] = &Session{ID: id, Node: command.Node, Zone: command.Zone, Incarnation: command.Incarnation}
	f.LatestSessions[command.Node] = &LatestSession{id, f.ClockTicks}
	f.notifyAll(Update{Sessions: f.sessionIDs()})
	f.claimOwnership(f.Sessions[id])
	return Result{Session: id}
}

// LatestSession returns the newest session that a node has had, or 0.
func (f *FSM) LatestSession(node string) SessionID {
	if last := f.LatestSessions[node]; last != nil {
		return last.ID
	}
	return 0
}

// forgetLatestSessions forgets the newest sessions of nodes that have had none for long.
func (f *FSM) forgetLatestSessions() {
	for node, last := range f.LatestSessions {
		if f.Sessions[last.ID] == nil && last.Tick+f.retentionTicks <= f.ClockTicks {
			delete(f.LatestSessions, node)
		}
	}
}

func (f *FSM) closeSession(id SessionID) Result {
	session := f.Sessions[id]
	if session == nil {
		return Result{}
	}
	delete(f.Sessions, id)
	if last := f.LatestSessions[session.Node]; last != nil && last.ID == id {
		last.Tick = f.ClockTicks
	}
	f.notifyAll(Update{Sessions: f.sessionIDs()})
	f.reassignWorkersAndJobs(id)
	return Result{}
}

func (f *FSM) sessionIDs() []SessionID {
	ids := make([]SessionID, 0, len(f.Sessions))
	for id := range f.Sessions {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// InstanceReader returns the session that reads the platform's list: the first one open.
func (f *FSM) InstanceReader() SessionID {
	first := SessionID(0)
	for id := range f.Sessions {
		if first == 0 || id < first {
			first = id
		}
	}
	return first
}
