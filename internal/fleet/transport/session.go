package transport

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"yardflow/internal/fleet/policylease"
	"yardflow/internal/fleet/statemachine"
	"yardflow/internal/platform/timers"
)

// callTimeout bounds a call for a lease. The lease counts from before the call, so that one which takes longer is of
// little use.
const callTimeout = time.Second

// Backoff after failed calls: retryDelayBase doubled for each failure in a row, up to maxRetryDelay, and multiplied by a
// random factor between a half and one and a half, since all dispatchers that have lost the coordinators come back to
// them at once.
const (
	retryDelayBase = 50 * time.Millisecond
	maxRetryDelay  = 400 * time.Millisecond
)

// minQuotaCheckInterval bounds how often it is checked whether a limit is exhausted.
const minQuotaCheckInterval = 20 * time.Millisecond

// A lease is renewed between these shares of policylease's interval, at random, so that dispatchers spread.
const (
	minRenewalShare    = 0.8
	renewalShareSpread = 0.2
)

// errOldGeneration: the coordinators that answer are those of before a restore, whose answers are void. The text stands
// in the operators' table of docs/FLEET-CONTROL.md.
var errOldGeneration = errors.New("keepers from before they were restored from a folder answer")

// LeaseSession keeps a dispatcher's lease: it renews the lease, votes on proposed policies, applies those in force, and
// says at any moment what may be admitted. Run drives it; the other methods are safe for concurrent use.
type LeaseSession struct {
	client *Client
	hooks  Hooks
	epoch  time.Time // moment 0 of the holder's clock, which is monotonic

	mu          sync.Mutex // guards all below
	holder      *policylease.Holder
	revision    uint64 // the newest of the coordinators' state that was heard of
	cancelWatch func() // ends the watch that is under way
}

// NewLeaseSession returns a session of holder, whose clock counts from epoch. The session takes over the client, and
// closes it when Run returns.
func NewLeaseSession(client *Client, holder *policylease.Holder, epoch time.Time, hooks Hooks) *LeaseSession {
	return &LeaseSession{client: client, hooks: hooks, epoch: epoch, holder: holder}
}

// Admission returns what may be admitted now, and the moment for which that holds. It waits for no call.
func (s *LeaseSession) Admission() (policylease.Admission, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	return s.holder.Admission(now.Sub(s.epoch)), now
}

// Describe returns a line for operators.
func (s *LeaseSession) Describe() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Since(s.epoch)
	admission, p := s.holder.Admission(now), s.holder.Policy()
	switch {
	case s.holder.HoldsLease(now):
		return fmt.Sprintf("version %d (%.12s) in force here, lease for %v more", admission.Version, p.Digest, s.holder.LeaseRemaining(now).Round(time.Millisecond))
	case admission.Allowed:
		return fmt.Sprintf("version %d (%.12s), the last that was heard of: no lease; %s", admission.Version, p.Digest, s.holder.NoLeaseReason)
	}
	return fmt.Sprintf("version %d, admitting nothing: no lease; %s", admission.Version, s.holder.NoLeaseReason)
}

// Do has a command of this dispatcher's applied, within callTimeout. After an error it may have been applied, or may
// yet be.
func (s *LeaseSession) Do(ctx context.Context, command statemachine.Command) (statemachine.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.client.Do(ctx, command)
}

// Incarnation tells this process from all others that ever had its name.
func (s *LeaseSession) Incarnation() uint64 { return s.holder.Incarnation() }

func (s *LeaseSession) generation() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.Generation()
}

func (s *LeaseSession) leaseExpiry() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.LeaseExpiry()
}

// quotaCheckInterval is how often it is checked whether a limit is exhausted: four times as often as the lease is
// renewed.
func (s *LeaseSession) quotaCheckInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.holder.RenewalInterval()/4, minQuotaCheckInterval)
}

// renewalDelay returns after how long a lease that was just granted is renewed.
func (s *LeaseSession) renewalDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(float64(s.holder.RenewalInterval()) * (minRenewalShare + renewalShareSpread*rand.Float64()))
}

// heardRevision records a revision of the coordinators' state.
func (s *LeaseSession) heardRevision(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = max(s.revision, revision)
}

// renewal is where Run stands.
type renewal struct {
	due      time.Time // of the next lease request
	failures int       // of lease requests, since the last one that was answered
	warned   bool      // errOldGeneration was logged, which is done once a process
}

// Run keeps the lease until ctx ends, and releases it then.
func (s *LeaseSession) Run(ctx context.Context) {
	updates := make(chan statemachine.WatchUpdate)
	go s.watch(ctx, updates) // ends with ctx
	state := renewal{due: time.Now()}
	for ctx.Err() == nil {
		if s.awaitRenewal(ctx, &state, updates) {
			s.renew(ctx, &state)
		}
	}
	s.release()
}

// awaitRenewal waits until something is to be done, and reports whether that is to request a lease.
func (s *LeaseSession) awaitRenewal(ctx context.Context, state *renewal, updates <-chan statemachine.WatchUpdate) bool {
	next, quotaCheck := state.due, false
	if s.hooks.QuotaExhausted != nil && state.failures == 0 { // at intervals: a request at each refusal would be a rush
		if check := time.Now().Add(s.quotaCheckInterval()); check.Before(next) {
			next, quotaCheck = check, true
		}
	}
	wait := time.NewTimer(timers.Positive(time.Until(next)))
	defer wait.Stop()
	select {
	case <-wait.C:
		return !quotaCheck || s.hooks.QuotaExhausted()
	case update := <-updates:
		return s.acceptUpdate(ctx, update)
	case <-ctx.Done():
		return false
	}
}

// acceptUpdate does what a watch has told, and reports whether to request a lease at once.
func (s *LeaseSession) acceptUpdate(ctx context.Context, update statemachine.WatchUpdate) bool {
	s.mu.Lock()
	s.revision = max(s.revision, update.Revision)
	actions := s.holder.HandleUpdate(update)
	expiry := s.holder.LeaseExpiry()
	s.mu.Unlock()
	if s.hooks.ListReceived != nil && update.RelayedList != nil && update.Generation >= s.generation() {
		s.hooks.ListReceived(update.RelayedList)
	}
	if s.hooks.EjectionsReceived != nil && expiry > 0 {
		s.hooks.EjectionsReceived(expiry, update.Ejections, nil, true)
	}
	if s.hooks.StepsReady != nil && update.StepsReady {
		s.hooks.StepsReady()
	}
	again, err := s.carryOut(ctx, actions)
	return again || err != nil
}

// renew requests a lease, and sets when the next request is due.
func (s *LeaseSession) renew(ctx context.Context, state *renewal) {
	result, again, err := s.requestLease(ctx)
	if err != nil {
		s.renewalFailed(state, err)
		return
	}
	if again {
		state.due = time.Now()
	} else {
		state.due = time.Now().Add(s.renewalDelay())
	}
	if state.failures > 0 {
		s.hooks.Log(fmt.Sprintf("policy: coordinators answer again after %d failed calls", state.failures))
	}
	state.failures = 0
	s.heardRevision(result.Revision)
}

// renewalFailed logs a failed request, and sets when the next one is due.
func (s *LeaseSession) renewalFailed(state *renewal, err error) {
	state.failures++
	state.due = time.Now().Add(retryDelay(state.failures))
	if errors.Is(err, errOldGeneration) && !state.warned {
		state.warned = true
		s.hooks.Log("policy: " + err.Error())
	} else if state.failures == 1 {
		s.hooks.Log(fmt.Sprintf("policy: no keeper answers: %v", err))
	}
	// The coordinator that is watched may be the one that failed: the next watch goes to another.
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelWatch != nil {
		s.cancelWatch()
	}
}

// retryDelay returns how long to wait after so many failures in a row, 1 or more.
func retryDelay(failures int) time.Duration {
	return time.Duration(float64(min(retryDelayBase<<min(failures, 4), maxRetryDelay)) * (0.5 + rand.Float64()))
}

// requestLease requests a lease and does what the answer asks; again: another one is to be requested at once.
func (s *LeaseSession) requestLease(ctx context.Context) (result statemachine.Result, again bool, err error) {
	asked, request := s.nextRequest()
	if result, err = s.Do(ctx, statemachine.Command{LeaseRequest: &request}); err != nil {
		s.mu.Lock()
		s.holder.RequestFailed()
		s.mu.Unlock()
		if len(request.OutlierReports) > 0 {
			s.hooks.ReportsUndelivered(request.OutlierReports)
		}
		return result, false, err
	}
	actions, void := s.acceptResult(asked, result)
	if void {
		s.client.SwitchCoordinator()
		return result, false, errOldGeneration
	}
	again, err = s.carryOut(ctx, actions)
	return result, again, err
}

// nextRequest returns the next lease request, and the moment from which a lease granted for it counts: before anything
// is sent.
func (s *LeaseSession) nextRequest() (asked time.Duration, request statemachine.LeaseRequest) {
	s.mu.Lock()
	asked = time.Since(s.epoch)
	request = s.holder.NextRequest(asked)
	s.mu.Unlock()
	if s.hooks.QuotaRequests != nil {
		request.QuotaRequests = s.hooks.QuotaRequests()
	}
	request.Zone = s.hooks.Zone
	if s.hooks.AddReports != nil {
		s.hooks.AddReports(&request)
	}
	if s.hooks.ColdStartRequest != nil {
		request.ColdStart = s.hooks.ColdStartRequest()
	}
	return asked, request
}

// acceptResult hands the answer to a request to the holder and the hooks, and returns what is left to do; void: the
// answer is of an older generation, and was ignored.
//
// Grants of limits and of cold starts are ignored where a policy is to be applied first: they come anew with the lease
// under that policy.
func (s *LeaseSession) acceptResult(asked time.Duration, result statemachine.Result) (actions policylease.Actions, void bool) {
	s.mu.Lock()
	void = s.holder.FromOldGeneration(result)
	actions = s.holder.HandleResult(asked, result)
	granted := result.LeaseDuration > 0 && !void
	if granted && s.hooks.QuotaGranted != nil && actions.ApplyPolicy == nil {
		s.hooks.QuotaGranted(s.holder.LeaseExpiry(), result.QuotaGrants) // still locked, so that Admits does not see the new lease before
	}
	s.mu.Unlock()
	if granted && s.hooks.ColdStartGranted != nil && actions.ApplyPolicy == nil {
		s.hooks.ColdStartGranted(asked, s.leaseExpiry(), result.ColdStart)
	}
	if granted && s.hooks.EjectionsReceived != nil {
		s.hooks.EjectionsReceived(s.leaseExpiry(), result.Ejections, result.ReportsWanted, false)
	}
	if result.ClaimLease > 0 && s.hooks.ClaimLeaseRenewed != nil && !void {
		s.hooks.ClaimLeaseRenewed(asked, result.ClaimLease, result.Generation, result.StepsReady)
	}
	return actions, void
}

// handleCommand does what the holder leaves to its caller: it votes on a proposed policy, then applies the one in force. It
// reports whether to request a lease at once.
func (s *LeaseSession) carryOut(ctx context.Context, actions policylease.Actions) (again bool, err error) {
	again = actions.RequestAgain
	if actions.CheckChange != nil {
		if err := s.vote(ctx, actions.CheckChange); err != nil {
			return false, err
		}
		s.mu.Lock()
		again = again || !s.holder.HoldsLease(time.Since(s.epoch)) // one that came after the proposal gets its lease now
		s.mu.Unlock()
	}
	if actions.ApplyPolicy != nil {
		if err := s.applyPolicy(*actions.ApplyPolicy); err != nil {
			return false, err
		}
		again = true
	}
	return again, nil
}

// vote checks a proposed policy and tells the coordinators whether this dispatcher can run it.
func (s *LeaseSession) vote(ctx context.Context, change *statemachine.PolicyChange) error {
	objection := ""
	if err := s.hooks.CheckPolicy(change.Policy); err != nil {
		objection = err.Error()
	} else if statemachine.Digest(change.Policy.Text) != change.Policy.Digest {
		objection = "its text is not that of its digest"
	}
	s.mu.Lock()
	vote := s.holder.Vote(change, objection)
	s.mu.Unlock()
	_, err := s.Do(ctx, statemachine.Command{Vote: &vote})
	if err != nil {
		s.mu.Lock()
		s.holder.VoteLost()
		s.mu.Unlock()
	}
	return err
}

// applyPolicy applies the policy in force.
func (s *LeaseSession) applyPolicy(p statemachine.Policy) error {
	if err := s.hooks.ApplyPolicy(p); err != nil {
		return fmt.Errorf("version %d can't be run: %w", p.Version, err)
	}
	s.mu.Lock()
	s.holder.PolicyApplied(p)
	s.mu.Unlock()
	s.hooks.Log(fmt.Sprintf("policy: version %d (%.12s) applied", p.Version, p.Digest))
	return nil
}

// release gives the lease back, and closes the client. Whether the call arrives does not matter: without it the
// coordinators wait until the lease has expired.
func (s *LeaseSession) release() {
	s.mu.Lock()
	release := s.holder.Release()
	s.mu.Unlock()
	_, _ = s.Do(context.Background(), statemachine.Command{LeaseRelease: &release}) // ctx of Run has ended
	s.client.Close()
}
