package statemachine

// SessionID names a session; numbers rise, and none is used twice. 0 names none.
type SessionID = uint64

// Session is the right of one incarnation of a dispatcher to own jobs and workers and to send commands. OpenSession
// creates it, the dispatcher's commands move its AcknowledgedThrough, and CloseSession, or the OpenSession of another
// incarnation of the same node, removes it.
type Session struct {
	ID          SessionID `cbor:"1,keyasint"`
	Node        string    `cbor:"2,keyasint"`
	Zone        string    `cbor:"3,keyasint"`
	Incarnation uint64    `cbor:"4,keyasint"`
	// AcknowledgedThrough is the number of the command up to which the dispatcher waits for no outcome any more: it
	// knows the outcome, or has given the command up. Duplicates of these commands are rejected.
	AcknowledgedThrough uint64 `cbor:"5,keyasint,omitempty"`
}

// LatestSession is the last session that was opened for a node, open or not. It outlives the session by the retention,
// so that a delayed OpenSession of a former incarnation is known for what it is.
type LatestSession struct {
	ID   SessionID `cbor:"1,keyasint"`
	Tick uint64    `cbor:"2,keyasint"` // ClockTicks when the session was opened or, later, closed
}

// admit records what the command's session has acknowledged, and reports whether the session still waits for the
// command's outcome. It does not for a duplicate that is delivered late: the session is closed, has the outcome already
// or has given the command up.
func (f *FSM) admit(command *Command) bool {
	session := f.Sessions[command.Session]
	if session == nil {
		return false
	}
	session.AcknowledgedThrough = max(session.AcknowledgedThrough, command.AcknowledgedThrough)
	return command.Sequence > session.AcknowledgedThrough
}

// openSession opens a session for an incarnation of a node, or finds the one that is open for it. A command that
// expects another latest session than the present one is a Conflict, with the present one in the result.
func (f *FSM) openSession(command *OpenSession) Result {
	for _, id := range f.sessionIDs() {
		session := f.Sessions[id]
		if session.Node == command.Node && session.Incarnation == command.Incarnation {
			return Result{Session: id}
		}
	}
	if latest := f.LatestSession(command.Node); latest != command.ExpectedLatest {
		return Result{Code: Conflict, Session: latest}
	}
	for _, id := range f.sessionIDs() {
		if f.Sessions[id].Node == command.Node {
			defer f.closeSession(id) // after the new one is open, so that it can take over what the former one owned
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

// closeSession closes a session and reassigns what it owned. One that is closed already stays so.
func (f *FSM) closeSession(id SessionID) Result {
	session := f.Sessions[id]
	if session == nil {
		return Result{}
	}
	delete(f.Sessions, id)
	if latest := f.LatestSessions[session.Node]; latest != nil && latest.ID == id {
		latest.Tick = f.ClockTicks
	}
	f.notifyAll(Update{Sessions: f.sessionIDs()})
	f.reassignWorkersAndJobs(id)
	return Result{}
}

// LatestSession returns the last session that was opened for a node, or 0 where none is known.
func (f *FSM) LatestSession(node string) SessionID {
	if latest := f.LatestSessions[node]; latest != nil {
		return latest.ID
	}
	return 0
}

// InstanceReader returns the session whose duty it is to read the platform's instance list, the open one with the
// lowest ID, or 0 where none is open. Dispatchers find it out for themselves from the list of sessions.
func (f *FSM) InstanceReader() SessionID {
	first := SessionID(0)
	for id := range f.Sessions {
		if first == 0 || id < first {
			first = id
		}
	}
	return first
}

// sessionIDs returns the IDs of the open sessions in rising order; it is never nil.
func (f *FSM) sessionIDs() []SessionID { return sortedKeys(f.Sessions) }
