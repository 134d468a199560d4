package consensus

import "fmt"

// DiscardLogger is a raft.Logger that discards what raft logs: what operators should know of, Node logs itself. Fatal
// and Panic are bugs or corrupt data, and panic.
type DiscardLogger struct{}

// Debug discards its arguments.
func (DiscardLogger) Debug(...any) {}

// Debugf discards its arguments.
func (DiscardLogger) Debugf(string, ...any) {}

// Error discards its arguments.
func (DiscardLogger) Error(...any) {}

// Errorf discards its arguments.
func (DiscardLogger) Errorf(string, ...any) {}

// Info discards its arguments.
func (DiscardLogger) Info(...any) {}

// Infof discards its arguments.
func (DiscardLogger) Infof(string, ...any) {}

// Warning discards its arguments.
func (DiscardLogger) Warning(...any) {}

// Warningf discards its arguments.
func (DiscardLogger) Warningf(string, ...any) {}

// Fatal panics: raft can't go on.
func (DiscardLogger) Fatal(v ...any) { panic(fmt.Sprint(v...)) }

// Fatalf panics: raft can't go on.
func (DiscardLogger) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }

// Panic panics.
func (DiscardLogger) Panic(v ...any) { panic(fmt.Sprint(v...)) }

// Panicf panics.
func (DiscardLogger) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
