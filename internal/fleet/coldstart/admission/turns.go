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
	Calls int           // in any second; 2 to 10000
	Use   time.Duration // a turn's length, and the longest way of a granted one; 10 ms to 1 s
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

// Check names what can't be.
func (s Settings) Check() error {
	switch {
	case s.Calls < 2 || s.Calls > 10000:
		return &SettingsError{"calls", fmt.Sprint(s.Calls), "2 to 10000 in a second, as the list service is stated to take"}
	case s.Use < 10*time.Millisecond || s.Use > time.Second:
		return &SettingsError{"use", s.Use.String(), "10ms to 1s"}
	}
	return nil
}

// Step is how far apart two turns' moments are.
func (s Settings) Step() time.Duration {
	return (time.Second + 2*s.Use) / time.Duration(s.Calls-1)
}

// Bound is the most calls that turns can make of any stretch of time so long.
func (s Settings) Bound(in time.Duration) int { return int((in+2*s.Use)/s.Step()) + 1 }

// Turn is one call.
type Turn struct {
	No uint64
	In time.Duration // from when it was asked for
	// Its holder may call from In on, for Use; an answer that took longer than Use is dropped.
	Use time.Duration
}

// Out is a turn that was given.
type Out struct {
	No uint64
	At time.Duration // its moment
}

// Book is who has what turn.
type Book struct {
	Settings
	Free time.Duration  // the next turn's moment at the soonest
	No   uint64         // of the latest
	Out  map[string]Out // by holder: one at the most
}

// New makes one by which the first turn is no sooner than a moment, with a number over base.
func New(s Settings, from time.Duration, base uint64) *Book {
	return &Book{Settings: s, Free: from, No: base, Out: map[string]Out{}}
}

// Mend makes what a snapshot leaves out where it is empty.
func (b *Book) Mend() {
	if b.Out == nil {
		b.Out = map[string]Out{}
	}
}

// Set puts other settings in force. What was given stays given.
func (b *Book) Set(s Settings) { b.Settings = s }

// Ask gives who its turn: the one that it has, unless it has used that or it is over, else the next.
func (b *Book) Ask(now time.Duration, who string, used uint64) Turn {
	o, ok := b.Out[who]
	if !ok || used >= o.No || now >= o.At+b.Use {
		b.No++
		o = Out{b.No, max(now+b.Use, b.Free)} // what comes at once would be over on its way
		b.Free = o.At + b.Step()
		b.Out[who] = o
	}
	return Turn{No: o.No, In: max(o.At-now, 0), Use: b.Use}
}

// Forget drops a holder that is gone; the call that it may have made has had its moment.
func (b *Book) Forget(who string) { delete(b.Out, who) }

// Mine is a holder's half: the turn that it has.
type Mine struct {
	Turn
	asked time.Duration
	spent bool
}

// Take takes up a turn that was asked for at one moment of the holder's clock and heard of at
// another. One whose way took too long is none.
func (m *Mine) Take(asked, heard time.Duration, t Turn) {
	if t.No <= m.No && t.No != 0 && m.spent {
		return // an old answer: it is used
	}
	m.Turn, m.asked, m.spent = t, asked, heard-asked > t.Use
}

// May tells whether the call may be made now; else how long until then, below 0 where another
// turn is needed. Yes uses the turn up.
func (m *Mine) May(now time.Duration) (ok bool, wait time.Duration) {
	from := m.asked + m.In
	switch {
	case m.No == 0 || m.spent || now > from+m.Use:
		m.spent = true
		return false, -1
	case now < from:
		return false, from - now
	}
	m.spent = true
	return true, 0
}

// Used is the number of the latest turn that is used up; 0: none is.
func (m *Mine) Used() uint64 {
	if m.spent {
		return m.No
	}
	return 0
}
