package statemachine

import (
	"bytes"
	"crypto/sha256"

	"yardflow/internal/control/patch"
)

// maxConfigDigests is how many configurations are remembered as acknowledged: some minutes of changes in quick
// succession, in 50 KB of state. A change that was acknowledged before and is sent again gets no clear answer.
const maxConfigDigests = 1024

func digest(body []byte) []byte {
	sum := sha256.Sum256(body)
	return sum[:]
}

// NewConfigure returns the command that puts a body in force on top of a version: as a patch where that version
// is the present one here.
func (f *FSM) NewConfigure(version, match int64, body []byte) *Configure {
	if match != f.ConfigVersion || match == 0 {
		return &Configure{Version: version, BaseVersion: match, Body: body}
	}
	made := patch.Diff(f.ConfigBody, body)
	return &Configure{Version: version, BaseVersion: match, Patch: &made, Digest: digest(body)}
}

// configure puts a configuration in force. One that was acknowledged is acknowledged again.
func (f *FSM) configure(command *Configure) Result {
	sum := command.Digest
	if command.Patch == nil {
		sum = digest(command.Body)
	}
	if known := f.ConfigDigests[command.Version]; known != nil && bytes.Equal(known, sum) {
		return Result{}
	}
	if command.Version <= f.ForgottenThrough && command.BaseVersion < command.Version {
		return Result{Code: Unknown} // it may be one that was acknowledged long ago
	}
	if command.BaseVersion != f.ConfigVersion {
		return Result{Code: Conflict}
	}
	if command.Version <= f.ConfigVersion {
		return Result{Code: Invalid}
	}
	body := command.Body
	change := command.Patch
	if change == nil {
		made := patch.Diff(f.ConfigBody, body)
		change = &made
	} else if made, fits := change.Apply(f.ConfigBody); fits {
		body = made
	} else {
		return Result{Code: Unknown}
	}
	f.notifyAll(Update{Config: &ConfigUpdate{Version: command.Version, BaseVersion: f.ConfigVersion, Patch: change}})
	f.ConfigVersion, f.ConfigBody = command.Version, body
	f.rememberDigest(command.Version, sum)
	return Result{}
}

// rememberDigest remembers a configuration in force, and forgets the oldest one where there are too many.
func (f *FSM) rememberDigest(version int64, sum []byte) {
	f.ConfigDigests[version] = sum
	if len(f.ConfigDigests) <= maxConfigDigests {
		return
	}
	oldest := version
	for known := range f.ConfigDigests {
		oldest = min(oldest, known)
	}
	delete(f.ConfigDigests, oldest)
	f.ForgottenThrough = max(f.ForgottenThrough, oldest)
}

// FullConfig returns the update that brings the configuration in force as a whole; it is nil before there is one.
func (f *FSM) FullConfig() *ConfigUpdate {
	if f.ConfigVersion == 0 {
		return nil
	}
	return &ConfigUpdate{Version: f.ConfigVersion, Body: f.ConfigBody}
}

func (f *FSM) readConfig() Result {
	if f.ConfigVersion == 0 {
		return Result{Code: NotFound}
	}
	return Result{Body: f.ConfigBody}
}
