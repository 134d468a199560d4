package statemachine

import (
	"bytes"
	"crypto/sha256"

	"yardflow/internal/control/patch"
)

// keptDigests is how many configurations are remembered as acknowledged: some minutes of changes in quick
// succession, in 50 KB of state. A change that was acknowledged before and is sent again gets no clear answer.
const keptDigests = 1024

func digest(body []byte) []byte {
	sum := sha256.Sum256(body)
	return sum[:]
}

// NewConfigure returns the command that puts a body in force on top of a version: as a patch where that version
// is the present one here.
func (c *FSM) NewConfigure(version, match int64, body []byte) *Configure {
	if match != c.ConfigVersion || match == 0 {
		return &Configure{Version: version, BaseVersion: match, Body: body}
	}
	made := patch.Diff(c.ConfigBody, body)
	return &Configure{Version: version, BaseVersion: match, Patch: &made, Digest: digest(body)}
}

// configure puts a configuration in force. One that was acknowledged is acknowledged again.
func (c *FSM) configure(command *Configure) Result {
	sum := command.Digest
	if command.Patch == nil {
		sum = digest(command.Body)
	}
	if known := c.ConfigDigests[command.Version]; known != nil && bytes.Equal(known, sum) {
		return Result{}
	}
	if command.Version <= c.ForgottenThrough && command.BaseVersion < command.Version {
		return Result{Code: Unknown} // it may be one that was acknowledged long ago
	}
	if command.BaseVersion != c.ConfigVersion {
		return Result{Code: Conflict}
	}
	if command.Version <= c.ConfigVersion {
		return Result{Code: Invalid}
	}
	body := command.Body
	change := command.Patch
	if change == nil {
		made := patch.Diff(c.ConfigBody, body)
		change = &made
	} else if made, fits := change.Apply(c.ConfigBody); fits {
		body = made
	} else {
		return Result{Code: Unknown}
	}
	c.tellAll(Update{Config: &ConfigUpdate{Version: command.Version, BaseVersion: c.ConfigVersion, Patch: change}})
	c.ConfigVersion, c.ConfigBody = command.Version, body
	c.acknowledge(command.Version, sum)
	return Result{}
}

// acknowledge remembers a configuration in force, and forgets the oldest one where there are too many.
func (c *FSM) acknowledge(version int64, sum []byte) {
	c.ConfigDigests[version] = sum
	if len(c.ConfigDigests) <= keptDigests {
		return
	}
	oldest := version
	for known := range c.ConfigDigests {
		oldest = min(oldest, known)
	}
	delete(c.ConfigDigests, oldest)
	c.ForgottenThrough = max(c.ForgottenThrough, oldest)
}

// FullConfig returns the update that brings the configuration in force as a whole; it is nil before there is one.
func (c *FSM) FullConfig() *ConfigUpdate {
	if c.ConfigVersion == 0 {
		return nil
	}
	return &ConfigUpdate{Version: c.ConfigVersion, Body: c.ConfigBody}
}

func (c *FSM) readConfig() Result {
	if c.ConfigVersion == 0 {
		return Result{Code: NotFound}
	}
	return Result{Body: c.ConfigBody}
}
