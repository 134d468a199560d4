package statemachine

import (
	"bytes"
	"crypto/sha256"

	"yardflow/internal/control/patch"
)

// maxConfigDigests is the number of acknowledged configurations whose digests the state keeps. They cover minutes of
// changes in quick succession and take 50 KB of state. An older configuration that is resent gets Unknown, since the state
// no longer shows whether it was ever in force.
const maxConfigDigests = 1024

// digest returns the SHA-256 of a configuration's body, by which a resent configuration is recognised.
func digest(body []byte) []byte {
	sum := sha256.Sum256(body)
	return sum[:]
}

// NewConfigure returns the command that puts a body in force as the successor of baseVersion. The command contains a
// patch if baseVersion is the version in force in this state, and the whole body otherwise.
func (f *FSM) NewConfigure(version, baseVersion int64, body []byte) *Configure {
	if baseVersion != f.ConfigVersion || baseVersion == 0 {
		return &Configure{Version: version, BaseVersion: baseVersion, Body: body}
	}
	change := patch.Diff(f.ConfigBody, body)
	return &Configure{Version: version, BaseVersion: baseVersion, Patch: &change, Digest: digest(body)}
}

// configure puts a configuration in force if its base is the present one. A configuration that was in force before is
// acknowledged again, even if another one is in force by now, since its operator may not have received the first answer.
func (f *FSM) configure(command *Configure) Result {
	sum := command.Digest
	if command.Patch == nil {
		sum = digest(command.Body)
	}
	if known := f.ConfigDigests[command.Version]; known != nil && bytes.Equal(known, sum) {
		return Result{}
	}
	if command.Version <= f.ForgottenThrough && command.BaseVersion < command.Version {
		return Result{Code: Unknown} // it may have been acknowledged before its digest was dropped
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

// bodyAndPatch returns the body that a command puts in force, and the patch that makes it from the present body. ok is
// false if the command's patch was made from another body, which can't happen as one version has only one body.
func (f *FSM) bodyAndPatch(command *Configure) (body []byte, change *patch.Patch, ok bool) {
	if command.Patch != nil {
		body, ok = command.Patch.Apply(f.ConfigBody)
		return body, command.Patch, ok
	}
	computed := patch.Diff(f.ConfigBody, command.Body)
	return command.Body, &computed, true
}

// rememberDigest records that a configuration was in force. If there are more than maxConfigDigests digests, it drops the
// one of the lowest version.
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

// FullConfig returns an update with the whole configuration in force, or nil if there is none yet.
func (f *FSM) FullConfig() *ConfigUpdate {
	if f.ConfigVersion == 0 {
		return nil
	}
	return &ConfigUpdate{Version: f.ConfigVersion, Body: f.ConfigBody}
}
