package statemachine

import "slices"

// openSession opens a session for a life of a node's process, or finds the one that it has. One that is sent
// behind another session than the node's newest is late, and refused with the newest.
func (c *FSM) openSession(command *OpenSession) Result {
	for _, id := range c.sessionIDs() {
		session := c.Sessions[id]
		if session.Node != command.Node {
			continue
		}
		if session.Incarnation == command.Incarnation {
			return Result{Session: id}
		}
	}
	if newest := c.LatestSession(command.Node); newest != command.ExpectedLatest {
		return Result{Code: Conflict, Session: newest}
	}
	for _, id := range c.sessionIDs() {
		if c.Sessions[id].Node == command.Node {
			defer c.closeSession(id) // after the new one is open, so that what it owned can pass to it
		}
	}
	c.LastSessionID++
	id := c.LastSessionID
	c.Sessions[id] = &Session{ID: id, Node: command.Node, Zone: command.Zone, Incarnation: command.Incarnation}
	c.LatestSessions[command.Node] = &LatestSession{id, c.ClockTicks}
	c.tellAll(Update{Sessions: c.sessionIDs()})
	c.claimFor(c.Sessions[id])
	return Result{Session: id}
}

// LatestSession returns the newest session that a node has had, or 0.
func (c *FSM) LatestSession(node string) SessionID {
	if last := c.LatestSessions[node]; last != nil {
		return last.ID
	}
	return 0
}

// forgetSessions forgets the newest sessions of nodes that have had none for long.
func (c *FSM) forgetSessions() {
	for node, last := range c.LatestSessions {
		if c.Sessions[last.ID] == nil && last.Tick+c.keepAges <= c.ClockTicks {
			delete(c.LatestSessions, node)
		}
	}
}

func (c *FSM) closeSession(id SessionID) Result {
	session := c.Sessions[id]
	if session == nil {
		return Result{}
	}
	delete(c.Sessions, id)
	if last := c.LatestSessions[session.Node]; last != nil && last.ID == id {
		last.Tick = c.ClockTicks
	}
	c.tellAll(Update{Sessions: c.sessionIDs()})
	c.passOn(id)
	return Result{}
}

func (c *FSM) sessionIDs() []SessionID {
	ids := make([]SessionID, 0, len(c.Sessions))
	for id := range c.Sessions {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// InstanceReader returns the session that reads the platform's list: the first one open.
func (c *FSM) InstanceReader() SessionID {
	first := SessionID(0)
	for id := range c.Sessions {
		if first == 0 || id < first {
			first = id
		}
	}
	return first
}
