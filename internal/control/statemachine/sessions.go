package statemachine

import "slices"

// openSession opens a session for a life of a node's process, or finds the one that it has. One that is sent
// behind another session than the node's newest is late, and refused with the newest.
func (c *Cluster) openSession(command *OpenSession) Result {
	for _, id := range c.sessionIDs() {
		session := c.Sessions[id]
		if session.Node != command.Node {
			continue
		}
		if session.Life == command.Life {
			return Result{Session: id}
		}
	}
	if newest := c.NewestSession(command.Node); newest != command.Behind {
		return Result{Code: Conflict, Session: newest}
	}
	for _, id := range c.sessionIDs() {
		if c.Sessions[id].Node == command.Node {
			defer c.closeSession(id) // after the new one is open, so that what it owned can pass to it
		}
	}
	c.NextSession++
	id := c.NextSession
	c.Sessions[id] = &Session{ID: id, Node: command.Node, Zone: command.Zone, Life: command.Life}
	c.LastSessions[command.Node] = &LastSession{id, c.AgeCount}
	c.tellAll(Update{Sessions: c.sessionIDs()})
	c.claimFor(c.Sessions[id])
	return Result{Session: id}
}

// NewestSession returns the newest session that a node has had, or 0.
func (c *Cluster) NewestSession(node string) SessionID {
	if last := c.LastSessions[node]; last != nil {
		return last.ID
	}
	return 0
}

// forgetSessions forgets the newest sessions of nodes that have had none for long.
func (c *Cluster) forgetSessions() {
	for node, last := range c.LastSessions {
		if c.Sessions[last.ID] == nil && last.Age+c.keepAges <= c.AgeCount {
			delete(c.LastSessions, node)
		}
	}
}

func (c *Cluster) closeSession(id SessionID) Result {
	session := c.Sessions[id]
	if session == nil {
		return Result{}
	}
	delete(c.Sessions, id)
	if last := c.LastSessions[session.Node]; last != nil && last.ID == id {
		last.Age = c.AgeCount
	}
	c.tellAll(Update{Sessions: c.sessionIDs()})
	c.passOn(id)
	return Result{}
}

func (c *Cluster) sessionIDs() []SessionID {
	ids := make([]SessionID, 0, len(c.Sessions))
	for id := range c.Sessions {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Reader returns the session that reads the platform's list: the first one open.
func (c *Cluster) Reader() SessionID {
	first := SessionID(0)
	for id := range c.Sessions {
		if first == 0 || id < first {
			first = id
		}
	}
	return first
}
