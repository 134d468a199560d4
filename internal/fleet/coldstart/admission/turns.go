// Package admission hands out calls at the list service: hundreds that start at one moment ask it one
// after the other, and never more of them in a second than it is stated to take.
//
// A turn is a stretch of Use at a moment of its own, given in the order of asking. Its holder
// counts it from before it asked, drops it where the answer took longer than Use, and looks at its
// clock at the moment of calling; so a call lies between Use before and Use after the turn's
// moment, whatever was late, lost, stopped or killed. The moments are so far apart that any
// second holds at most Calls of such stretches: that is Bound, and a test checks it.
//
// It has no clock, draw or I/O; the time is the granter's, handed in.
package admission

import (
	"fmt"
	"time"
)

// Settings are how much the service is stated to take.
type Settings struct {
	CallsPerSecond int           `cbor:"Calls" json:"Calls"` // in any second; 2 to 10000
	TokenWindow    time.Duration `cbor:"Use" json:"Use"`     // a turn's length, and the longest way of a granted one; 10 ms to 1 s
}

// SettingsError names what can't be a setting.
type SettingsError struct{ Key, Got, Want string }

func (e *SettingsError) Error() string {
	return fmt.Sprintf("%s: %s; expected %s", e.Key, e.Got, e.Want)
}

// Code is its word in the operators' table.
func (e *SettingsError) Code() string { return "start-settings" }

// Advice is what an operator can do.
func (e *SettingsError) Advice() string {
	return "correct the key in the policy's [start] and propose it again; what is in force stays"
}

// Validate names what can't be.
func (s Settings) Validate() error {
	switch {
	case s.CallsPerSecond < 2 || s.CallsPerSecond > 10000:
		return &SettingsError{"calls", fmt.Sprint(s.CallsPerSecond), "2 to 10000 in a second, as the list service is stated to take"}
	case s.TokenWindow < 10*time.Millisecond || s.TokenWindow > time.Second:
		return &SettingsError{"use", s.TokenWindow.String(), "10ms to 1s"}
	}
	return nil
}

// TokenSpacing is how far apart two turns' moments are.
func (s Settings) TokenSpacing() time.Duration {
	return (time.Second + 2*s.TokenWindow) / time.Duration(s.CallsPerSecond-1)
}

// MaxCalls is the most calls that turns can make of any stretch of time so long.
func (s Settings) MaxCalls(in time.Duration) int {
	return int((in+2*s.TokenWindow)/s.TokenSpacing()) + 1
}

// Token is one call.
type Token struct {
	Number uint64        `cbor:"No"`
	Delay  time.Duration `cbor:"In"` // from when it was asked for
	// Its holder may call from In on, for Use; an answer that took longer than Use is dropped.
	Window time.Duration `cbor:"Use"`
}

// Issued is a turn that was given.
type Issued struct {
	Number  uint64        `cbor:"No"`
	OpensAt time.Duration `cbor:"At"` // its moment
}

// Issuer is who has what turn.
type Issuer struct {
	Settings
	NextOpening time.Duration     `cbor:"Free"` // the next turn's moment at the soonest
	LastNumber  uint64            `cbor:"No"`   // of the latest
	Outstanding map[string]Issued `cbor:"Out"`  // by holder: one at the most
}

// NewIssuer makes one by which the first turn is no sooner than a moment, with a number over base.
func NewIssuer(s Settings, from time.Duration, base uint64) *Issuer {
	return &Issuer{Settings: s, NextOpening: from, LastNumber: base, Outstanding: map[string]Issued{}}
}

// InitMaps makes what a snapshot leaves out where it is empty.
func (b *Issuer) InitMaps() {
	if b.Outstanding == nil {
		b.Outstanding = map[string]Issued{}
	}
}

// Configure puts other settings in force. What was given stays given.
func (b *Issuer) Configure(s Settings) { b.Settings = s }

// Issue gives who its turn: the one that it has, unless it has used that or it is over, else the next.
func (b *Issuer) Issue(now time.Duration, who string, used uint64) Token {
	o, ok := b.Outstanding[who]
	if !ok || used >= o.Number || now >= o.OpensAt+b.TokenWindow {
		b.LastNumber++
		o = Issued{b.LastNumber, max(now+b.TokenWindow, b.NextOpening)} // what comes at once would be over on its way
		b.NextOpening = o.OpensAt + b.TokenSpacing()
		b.Outstanding[who] = o
	}
	return Token{Number: o.Number, Delay: max(o.OpensAt-now, 0), Window: b.TokenWindow}
}

// RemoveHolder drops a holder that is gone; the call that it may have made has had its moment.
func (b *Issuer) RemoveHolder(who string) { delete(b.Outstanding, who) }

// Holder is a holder's half: the turn that it has.
type Holder struct {
	Token
	asked time.Duration
	spent bool
}

// Accept takes up a turn that was asked for at one moment of the holder's clock and heard of at
// another. One whose way took too long is none.
func (m *Holder) Accept(asked, heard time.Duration, t Token) {
	if t.Number <= m.Number && t.Number != 0 && m.spent {
		return // an old answer: it is used
	}
	m.Token, m.asked, m.spent = t, asked, heard-asked > t.Window
}

// MayCall tells whether the call may be made now; else how long until then, below 0 where another
// turn is needed. Yes uses the turn up.
func (m *Holder) MayCall(now time.Duration) (ok bool, wait time.Duration) {
	from := m.asked + m.Delay
	switch {
	case m.Number == 0 || m.spent || now > from+m.Window:
		m.spent = true
		return false, -1
	case now < from:
		return false, from - now
	}
	m.spent = true
	return true, 0
}

// UsedToken is the number of the latest turn that is used up; 0: none is.
func (m *Holder) UsedToken() uint64 {
	if m.spent {
		return m.Number
	}
	return 0
}
