package admission

import "time"

// fallbackSpacings is how many token spacings a slot is long: dispatchers without a lease call at half the pace of tokens,
// since others may hold tokens meanwhile.
const fallbackSpacings = 2

// Slot says when a dispatcher that has lost the coordinators may call the list service by itself: once in each of its
// recurring slots. All dispatchers' slots lie one after the other on the issuer's clock, so that they keep to the pace
// without hearing of each other. The zero value stands for none: an earlier version of the coordinators grants none.
type Slot struct {
	Delay  time.Duration `cbor:"1,keyasint"` // from the request to the next opening
	Length time.Duration `cbor:"2,keyasint"` // of each slot
	Period time.Duration `cbor:"3,keyasint"` // from one opening to the next: Length for each dispatcher
}

// SlotLength is how long each dispatcher's slot is.
func (s Settings) SlotLength() time.Duration { return fallbackSpacings * s.TokenSpacing() }

// SlotOf returns the slot of one of so many dispatchers, by its position among them.
func (s Settings) SlotOf(now time.Duration, position, dispatchers int) Slot {
	length := s.SlotLength()
	period := time.Duration(max(dispatchers, 1)) * length
	sinceOpening := (now - time.Duration(position)*length) % period
	if sinceOpening < 0 {
		sinceOpening += period
	}
	return Slot{Delay: period - sinceOpening, Length: length, Period: period}
}

// SlotHolder is a dispatcher's half: the slot that it has. The zero value has none.
type SlotHolder struct {
	slot     Slot
	opening  time.Duration // one of its openings, on the holder's clock
	lastUsed time.Duration // the opening of the slot in which it called last
	used     bool          // it has called in lastUsed
}

// Accept takes up a slot that was requested at one moment of the holder's clock and received at another. Where the answer
// took longer than a slot, its opening is not known well enough, and a slot that is known already stays.
func (h *SlotHolder) Accept(requested, received time.Duration, s Slot) {
	if s.Period == 0 || h.slot.Period > 0 && received-requested > s.Length {
		return
	}
	h.slot, h.opening = s, requested+s.Delay
}

// Known reports whether there is a slot.
func (h *SlotHolder) Known() bool { return h.slot.Period > 0 }

// MayCall reports whether the call may be made now, and uses the slot up if so. Else it returns how long to wait for the
// next one. It needs a slot that is Known.
func (h *SlotHolder) MayCall(now time.Duration) (ok bool, wait time.Duration) {
	sinceOpening := (now - h.opening) % h.slot.Period
	if sinceOpening < 0 {
		sinceOpening += h.slot.Period
	}
	opening := now - sinceOpening
	// The slot of an earlier answer may overlap that of a later one, whose opening differs a little.
	usedUp := h.used && opening-h.lastUsed < h.slot.Period/2
	if sinceOpening >= h.slot.Length || usedUp {
		return false, h.slot.Period - sinceOpening
	}
	h.lastUsed, h.used = opening, true
	return true, 0
}
