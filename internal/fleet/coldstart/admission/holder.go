package admission

import "time"

// Holder is a dispatcher's half: the token that it has. The zero value has none.
type Holder struct {
	Token
	requested time.Duration // when it was requested, on the holder's clock
	spent     bool          // it is used, or can't be
}

// Accept takes up a token that was requested at one moment of the holder's clock and received at another. One that was
// longer on its way than its window is spent: its opening is not known well enough.
func (h *Holder) Accept(requested, received time.Duration, t Token) {
	if t.Number <= h.Number && t.Number != 0 && h.spent {
		return // an old answer with a token that is used
	}
	h.Token, h.requested, h.spent = t, requested, received-requested > t.Window
}

// MayCall reports whether the call may be made now, and uses the token up if so. Else it returns how long to wait for its
// opening; below 0: another token is needed.
func (h *Holder) MayCall(now time.Duration) (ok bool, wait time.Duration) {
	opening := h.requested + h.Delay
	switch {
	case h.Number == 0 || h.spent || now > opening+h.Window:
		h.spent = true
		return false, -1
	case now < opening:
		return false, opening - now
	}
	h.spent = true
	return true, 0
}

// UsedToken is the number of the latest token if it is spent; else 0.
func (h *Holder) UsedToken() uint64 {
	if h.spent {
		return h.Number
	}
	return 0
}
