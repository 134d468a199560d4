package admission

import "time"

// Issued is a token as its issuer knows it.
type Issued struct {
	Number  uint64        `cbor:"No"`
	OpensAt time.Duration `cbor:"At"` // on the issuer's clock
}

// Issuer is the coordinators' half: who has which token.
type Issuer struct {
	Settings
	NextOpening time.Duration     `cbor:"Free"` // no token opens before it
	LastNumber  uint64            `cbor:"No"`
	Outstanding map[string]Issued `cbor:"Out"` // by holder: one at most
}

// NewIssuer returns an issuer whose first token opens no sooner than earliest, and whose numbers are greater than base.
func NewIssuer(s Settings, earliest time.Duration, base uint64) *Issuer {
	return &Issuer{Settings: s, NextOpening: earliest, LastNumber: base, Outstanding: map[string]Issued{}}
}

// InitMaps makes the map that a snapshot left out because it was empty.
func (i *Issuer) InitMaps() {
	if i.Outstanding == nil {
		i.Outstanding = map[string]Issued{}
	}
}

// Configure changes the settings. Tokens that were issued stay as they are.
func (i *Issuer) Configure(s Settings) { i.Settings = s }

// Issue returns a holder's token: the one that it has, unless that is used or has closed, else the next. used is the
// number of the latest token that the holder has used. To ask again before is to ask once.
func (i *Issuer) Issue(now time.Duration, holder string, used uint64) Token {
	issued, ok := i.Outstanding[holder]
	if !ok || used >= issued.Number || now >= issued.OpensAt+i.TokenWindow {
		i.LastNumber++
		// One that opened at once would have closed before its answer arrives.
		issued = Issued{Number: i.LastNumber, OpensAt: max(now+i.TokenWindow, i.NextOpening)}
		i.NextOpening = issued.OpensAt + i.TokenSpacing()
		i.Outstanding[holder] = issued
	}
	return Token{Number: issued.Number, Delay: max(issued.OpensAt-now, 0), Window: i.TokenWindow}
}

// RemoveHolder forgets a holder that is gone; its opening is not handed out again, since it may have called.
func (i *Issuer) RemoveHolder(holder string) { delete(i.Outstanding, holder) }
