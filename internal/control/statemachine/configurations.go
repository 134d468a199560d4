package statemachine

import (
	"bytes"
	"crypto/sha256"

	"yardflow/internal/control/patch"
)

// maxConfigDigests is for how many configurations the state remembers that they were acknowledged: minutes of changes in
// quick succession, in 50 KB of state. An older one that is sent again gets Unknown, since it can't be told whether it
// was ever in force.
const maxConfigDigests = 1024

// digest returns the SHA-256 of a configuration's body, by which one that is sent again is recognised.
func digest(body []byte) []byte {
	sum := sha256.Sum256(body)
	return sum[:]
}

// NewConfigure returns the command that puts a body in force on top of baseVersion: as a patch where that is the
// version in force here, else as a whole.
func (f *FSM) NewConfigure(version, baseVersion int64, body []byte) *Configure {
	if baseVersion != f.ConfigVersion || baseVersion == 0 {
		return &Configure{Version: version, BaseVersion: baseVersion, Body: body}
	}
	change := patch.Diff(f.ConfigBody, body)
	return &Configure{Version: version, BaseVersion: baseVersion, Patch: &change, Digest: digest(body)}
}

// configure puts a configuration in force that builds on the present one. One that was in force before is acknowledged
// again, also where another one is in force by now: its operator never got the answer.
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
	body, change, ok := f.bodyAndPatch(command)
	if !ok {
		return Result{Code: Unknown}
	}
	f.notifyAll(Update{Config: &ConfigUpdate{Version: command.Version, BaseVersion: f.ConfigVersion, Patch: change}})
	f.ConfigVersion, f.ConfigBody = command.Version, body
	f.rememberDigest(command.Version, sum)
	return Result{}
}

// bodyAndPatch returns the body that a command puts in force and the patch that leads there from the present one. It is
// not ok where the command's patch was made from another body, which the same version can't have.
func (f *FSM) bodyAndPatch(command *Configure) (body []byte, change *patch.Patch, ok bool) {
	if command.Patch != nil {
		body, ok = command.Patch.Apply(f.ConfigBody)
		return body, command.Patch, ok
	}
	made := patch.Diff(f.ConfigBody, command.Body)
	return command.Body, &made, true
}

// rememberDigest remembers that a configuration was in force, and forgets the lowest version where there are too many.
func (f *FSM) rememberDigest(version int64, sum []byte) {
	f.ConfigDigests[version] = sum
	if len(f.ConfigDigests) <= maxConfigDigests {
		return
	}
	lowest := version
	for known := range f.ConfigDigests {
		lowest = min(lowest, known)
	}
	delete(f.ConfigDigests, lowest)
	f.ForgottenThrough = max(f.ForgottenThrough, lowest)
}

// FullConfig returns the update that brings the whole configuration in force, or nil before there is one.
func (f *FSM) FullConfig() *ConfigUpdate {
	if f.ConfigVersion == 0 {
		return nil
	}
	return &ConfigUpdate{Version: f.ConfigVersion, Body: f.ConfigBody}
}
