package claims

// This file owns what operators do with flows: cancel one, settle a step that nobody knows of, and
// what becomes of all where the keepers go on from an older folder.

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"yardflow/internal/fleet/workflow/expansion"
)

func (l *Ledger) flow(key string) (*Flow, error) {
	f := l.Flows[key]
	if f == nil {
		have := slices.Sorted(maps.Keys(l.Flows))
		return nil, &UnknownError{"flow", key, have[:min(len(have), 5)]}
	}
	return f, nil
}

func (l *Ledger) cancel(now time.Duration, c *Cancel) error {
	f, err := l.flow(c.Flow)
	switch {
	case err != nil:
		return err
	case f.State == Cancelled || f.State == Closing && f.Then == Cancelled:
		return nil // asked twice
	case f.Tree == nil || f.State == Closing:
		return &StateError{c.Flow, f.State.String(), "one that has not ended"}
	}
	f.Tree.Each(func(r expansion.Ref, run *expansion.Run) {
		if run.State == expansion.Stuck {
			f.Tree.End(now, r, run.Was, nil, nil)
		}
	})
	f.Stuck = 0
	l.shut(f, Cancelled, "by "+c.Who)
	l.look(now, f)
	return nil
}

// settle says how a step has ended that is stuck. With the last of them its flow goes on.
func (l *Ledger) settle(now time.Duration, c *Settle) error {
	f, err := l.flow(c.Flow)
	if err != nil {
		return err
	}
	if f.State != Held {
		return &StateError{c.Flow, f.State.String(), "one that is held"}
	}
	run := f.Tree.Run(c.Ref)
	if run == nil || run.State != expansion.Stuck {
		return &StateError{c.Flow, "that step is not to be settled", "one that keeper flow show names as stuck"}
	}
	f.Stuck--
	if f.Stuck == 0 {
		f.State, f.Tree.Shut = Running, f.undoing()
		f.Turn++ // whatever waited while it was held does so anew
		if !f.Tree.Shut {
			f.Why = ""
		}
	}
	switch c.As {
	case Done:
		f.Tree.End(now, c.Ref, expansion.Done, nil, nil)
	case Back:
		// By an operator's word alone: who knows that it has not run.
		run.Marked, run.Until, run.Cell, run.Tries, run.Sure = 0, 0, 0, 0, true
		run.State, run.Since = expansion.Ready, now
		l.queue(f, c.Ref, run)
	default:
		f.Tree.End(now, c.Ref, expansion.Failed, nil, nil)
	}
	run.Why = fmt.Sprintf("settled by %s", c.Who)
	if f.State == Running {
		f.Tree.Wake(now)
		f.Tree.Each(func(r expansion.Ref, run *expansion.Run) {
			if run.State == expansion.Ready {
				l.queue(f, r, run)
			}
		})
		f.Tree.Fresh()
	}
	l.look(now, f)
	return nil
}

// Restored makes of this ledger, which may be an old one, one that is safe to go on from: whatever
// was not ended by it may have run since. Such steps are told as in doubt from here on, and those
// that may not be repeated are unknown.
func (l *Ledger) Restored(now time.Duration, skip uint64) {
	l.No += skip
	for _, no := range slices.Sorted(maps.Keys(l.Claims)) {
		h := l.Claims[no]
		f := l.Flows[h.Key]
		run := f.Tree.Run(h.Ref)
		l.drop(f, no)
		l.again(now, f, h.Ref, run, expansion.Unknown, "it was claimed when the keepers were restored", run.Until > 0)
	}
	for _, key := range slices.Sorted(maps.Keys(l.Flows)) {
		if f := l.Flows[key]; f.Tree != nil {
			f.Doubt = true
			l.look(now, f)
		}
	}
	l.news() // who comes back asks anyway
}
