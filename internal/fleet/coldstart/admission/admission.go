// Package admission hands out calls to the list service, so that hundreds of dispatchers that start at one moment call it
// one after the other, and never more of them in a second than it is stated to take.
//
// An admission token allows one call, at its opening or up to a window after it; openings are handed out in the order of
// the requests. The holder counts the opening from before its request was sent, drops a token whose answer took longer
// than the window, and looks at its clock at the moment of the call. So a call lies within one window before or after the
// opening on the issuer's clock, whatever was late, lost, stopped or killed. Openings are so far apart that any second
// holds at most CallsPerSecond of such stretches: MaxCalls computes it, and a test checks it.
//
// The package reads no clock, draws no random numbers and does no input or output; times are passed in.
package admission

import (
	"fmt"
	"time"
)

// Settings are how much the list service is stated to take.
type Settings struct {
	CallsPerSecond int           `cbor:"Calls" json:"Calls"` // in any second; 2 to 10000
	TokenWindow    time.Duration `cbor:"Use" json:"Use"`     // for how long a token may be used, and how long its answer may take; 10 ms to 1 s
}

// SettingsError says which key of the settings has a value that it can't have.
type SettingsError struct{ Key, Got, Want string }

func (e *SettingsError) Error() string {
	return fmt.Sprintf("%s: %s; expected %s", e.Key, e.Got, e.Want)
}

// Code is the fault's code in the operators' table.
func (e *SettingsError) Code() string { return "start-settings" }

// Advice is what an operator can do.
func (e *SettingsError) Advice() string {
	return "correct the key in the policy's [start] and propose it again; what is in force stays"
}

// Validate returns a SettingsError for the first key that has a value it can't have.
func (s Settings) Validate() error {
	switch {
	case s.CallsPerSecond < 2 || s.CallsPerSecond > 10000:
		return &SettingsError{"calls", fmt.Sprint(s.CallsPerSecond), "2 to 10000 in a second, as the list service is stated to take"}
	case s.TokenWindow < 10*time.Millisecond || s.TokenWindow > time.Second:
		return &SettingsError{"use", s.TokenWindow.String(), "10ms to 1s"}
	}
	return nil
}

// TokenSpacing is how far apart two openings are: a second, lengthened by the window on both of its ends, has room for
// CallsPerSecond - 1 of them, and one more at its start.
func (s Settings) TokenSpacing() time.Duration {
	return (time.Second + 2*s.TokenWindow) / time.Duration(s.CallsPerSecond-1)
}

// MaxCalls is the most calls that tokens allow in any stretch of time of that length.
func (s Settings) MaxCalls(in time.Duration) int {
	return int((in+2*s.TokenWindow)/s.TokenSpacing()) + 1
}

// Token allows one call.
type Token struct {
	Number uint64        `cbor:"No"`  // grows with each token; 0: there is none
	Delay  time.Duration `cbor:"In"`  // from its request to its opening
	Window time.Duration `cbor:"Use"` // from its opening, for the call; a token whose answer took longer is dropped
}
