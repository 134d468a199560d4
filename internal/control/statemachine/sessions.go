package statemachine

// SessionID identifies a session. IDs increase, and none is used twice; 0 means no session.
type SessionID = uint64

// Session entitles one incarnation of a dispatcher to own jobs and workers and to send commands. OpenSession creates it,
// the dispatcher's commands advance its AcknowledgedThrough, and CloseSession, or the OpenSession of another incarnation
// of the same node, removes it.
type Session struct {
	ID          SessionID `cbor:"1,keyasint"`
	Node        string    `cbor:"2,keyasint"`
	Zone        string    `cbor:"3,keyasint"`
	Incarnation uint64    `cbor:"4,keyasint"`
	// AcknowledgedThrough is the number of the command up to which the dispatcher no longer waits for outcomes: it has
	// received the outcome of each, or has abandoned the command. Duplicates of these commands are rejected.
	AcknowledgedThrough uint64 `cbor:"5,keyasint,omitempty"`
}

// LatestSession is the last session that was opened for a node, whether or not it is still open. It is kept for the
// retention time after the session was closed, so that a delayed OpenSession of a former incarnation is recognised.
type LatestSession struct {
	ID   SessionID `cbor:"1,keyasint"`
	Tick uint64    `cbor:"2,keyasint"` // ClockTicks when the session was opened or, later, closed
}

// admit records which commands the session has acknowledged, and reports whether the session still waits for the
// command's outcome. For a duplicate that is delivered late it does not: the session is closed, has received the outcome or
// has abandoned the command.
func (f *FSM) admit(command *Command) bool {
	session := f.Sessions[command.Session]
	if session == nil {
		return false
	}
	session.AcknowledgedThrough = max(session.AcknowledgedThrough, command.AcknowledgedThrough)
	return command.Sequence > session.AcknowledgedThrough
}

// openSession opens a session for an incarnation of a node, or returns the one that the incarnation has open. A command
// whose ExpectedLatest is not the node's latest session is a Conflict, with the latest session in the result.
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
			defer f.closeSession(id) // once the new session is open, which can then take over the workers and jobs of this one
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

// closeSession closes a session and reassigns its workers and jobs. It does nothing if the session is closed already.
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

// LatestSession returns the last session that was opened for a node, or 0 if the state has none.
func (f *FSM) LatestSession(node string) SessionID {
	if latest := f.LatestSessions[node]; latest != nil {
		return latest.ID
	}
	return 0
}

// InstanceReader returns the session that is responsible for reading the platform's instance list: the open session with
// the lowest ID, or 0 if none is open. Dispatchers determine it themselves from the list of sessions.
func (f *FSM) InstanceReader() SessionID {
	first := SessionID(0)
	for id := range f.Sessions {
		if first == 0 || id < first {
			first = id
		}
	}
	return first
}

// sessionIDs returns the IDs of the open sessions in ascending order; the slice is never nil.
func (f *FSM) sessionIDs() []SessionID { return sortedKeys(f.Sessions) }
