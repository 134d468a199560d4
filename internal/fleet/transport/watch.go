package transport

import (
	"context"
	"math/rand/v2"
	"time"

	"yardflow/internal/fleet/coldstart/relay"
	"yardflow/internal/fleet/statemachine"
)

const (
	// watchWait is how long a coordinator holds a watch open where nothing changes.
	watchWait = 10 * time.Second
	// watchTimeout bounds the call: watchWait, and two seconds for the answer.
	watchTimeout = 12 * time.Second
	// unchangedPause is waited after a watch that returned nothing new, as that of a coordinator that lags does at
	// once.
	unchangedPause = 20 * time.Millisecond
	// After a failed watch the pause is between minFailurePause and twice that, at random, so that dispatchers spread.
	minFailurePause = 200 * time.Millisecond
)

// watch hands updates on to Run until ctx ends.
func (s *LeaseSession) watch(ctx context.Context, updates chan<- statemachine.WatchUpdate) {
	var last uint64
	for ctx.Err() == nil {
		update, past, err := s.watchOnce(ctx, last)
		last = past
		if err != nil || update.Revision <= last {
			pause := unchangedPause
			if err != nil {
				pause = minFailurePause + time.Duration(rand.IntN(int(minFailurePause/time.Millisecond)))*time.Millisecond
			}
			select {
			case <-time.After(pause):
			case <-ctx.Done():
			}
			continue
		}
		last = update.Revision
		select {
		case updates <- update:
		case <-ctx.Done():
		}
	}
}

// watchOnce waits until the coordinators' state is past the newest revision heard of, by a watch (last) or by the
// answer to a request, and returns the revision that it waited to pass.
func (s *LeaseSession) watchOnce(ctx context.Context, last uint64) (update statemachine.WatchUpdate, past uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	s.mu.Lock()
	s.cancelWatch = cancel
	past = max(last, s.revision)
	known := s.holder.Policy().Version
	s.mu.Unlock()
	var list relay.Watermark
	if s.hooks.ListMark != nil {
		list = s.hooks.ListMark()
	}
	update, err = s.client.WatchList(ctx, past, known, s.hooks.Zone, list, watchWait)
	return update, past, err
}
