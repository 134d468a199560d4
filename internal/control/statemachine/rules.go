package statemachine

import "fmt"

// RulesVersion identifies the rules by which commands are applied. Replicas that apply one entry by different rules
// diverge, so a changed rule gets a new version. A version takes force with a SetRules command, at one entry of the log, and
// a log or snapshot from before that entry gives the same state as ever. A rule asks State.Rules whether it is in force,
// never which build this is.
type RulesVersion = uint64

// Versions of the rules.
const (
	// InitialRules are those of the builds from before there were versions.
	InitialRules RulesVersion = 0
	// ClockAgeRules add RecordClockAge.
	ClockAgeRules RulesVersion = 1
	// CancelledIDsRules remember the IDs of jobs that were cancelled before they were submitted.
	CancelledIDsRules RulesVersion = 2
	// NewestRules are the newest ones that this build can apply.
	NewestRules = CancelledIDsRules
)

// setRules puts other rules in force. A command that was sent under other rules than those in force is a Conflict.
func (f *FSM) setRules(command *SetRules) Result {
	if command.From != f.Rules {
		return Result{Code: Conflict}
	}
	f.Rules = command.To
	if f.Rules == InitialRules {
		f.dropLaterRules()
	}
	return Result{}
}

// dropLaterRules makes the state one under the InitialRules.
func (s *State) dropLaterRules() {
	s.Rules = InitialRules
	s.ClockAgeMs = 0
	s.CancelledIDs = nil
}

// LimitRules makes this machine support the rules up to a version only, as an earlier build does. With InitialRules it
// behaves like a build from before there were versions: it ignores their commands, and skips their fields in snapshots.
// Tests of rolling upgrades use it, before the first command.
func (f *FSM) LimitRules(newest RulesVersion) { f.supportedRules = newest }

// SupportedRules returns the newest rules that this machine can apply.
func (f *FSM) SupportedRules() RulesVersion { return f.supportedRules }

// CheckRules returns an UnsupportedRulesError if this machine can't apply the rules that are in force in a state.
func (f *FSM) CheckRules(state *State) error {
	if state.Rules <= f.supportedRules || f.supportedRules == InitialRules {
		return nil
	}
	return &UnsupportedRulesError{InForce: state.Rules, Supported: f.supportedRules}
}

// UnsupportedRulesError reports that rules are in force which this build does not know: a newer build has put them in force
// while this machine was away.
type UnsupportedRulesError struct {
	InForce   RulesVersion
	Supported RulesVersion // the newest rules of this build
}

// Error returns both versions and the advice.
func (e *UnsupportedRulesError) Error() string {
	return fmt.Sprintf("rules version %d is in force, this build supports %d; %s", e.InForce, e.Supported, e.Advice())
}

// Advice returns what an operator can do about the error.
func (e *UnsupportedRulesError) Advice() string {
	return "start the newer build on this machine, or wait until the other control machines have lowered the rules"
}
