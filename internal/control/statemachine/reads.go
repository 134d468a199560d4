package statemachine

// Reads change nothing and are not logged: a replica answers them from its state once the chain has confirmed that the
// state includes everything that was committed when the read was sent.

// IsRead reports whether the command only reads the state, and so is answered without being logged.
func (c *Command) IsRead() bool {
	return c.ReadJob != nil || c.ReadQueue != nil || c.ReadConfig != nil
}

// readJob returns a job's state, or NotFound if the job was never submitted or its retention time has expired.
func (f *FSM) readJob(command *ReadJob) Result {
	j := f.Jobs[command.Job]
	if j == nil {
		return Result{Code: NotFound}
	}
	return Result{JobState: j.State}
}

// readQueue returns the number of jobs of a route that wait for their first task to start.
func (f *FSM) readQueue(command *ReadQueue) Result {
	return Result{Count: f.PendingByRoute[command.Route]}
}

// readConfig returns the body of the configuration in force, or NotFound if there is none yet.
func (f *FSM) readConfig() Result {
	if f.ConfigVersion == 0 {
		return Result{Code: NotFound}
	}
	return Result{Body: f.ConfigBody}
}
