package statemachine

import "yardflow/internal/fleet/coldstart/relay"

// component is one of the things that coordinators do for a fleet beside policies and leases: fleet-wide limits,
// outlier detection, cold starts and workflows. Each is called at the same moments; none knows another, and the rest of
// the state knows them by this interface alone. Where no policy has ever used a component, it does nothing.
type component interface {
	policyChanged(s *State, p Policy)                                   // p comes into force
	timePassed(s *State, c *Tick)                                       // s.Now is moved on already
	leaseRequested(s *State, c *LeaseRequest, r *Result)                // whether a lease is granted is not known yet
	leaseGranted(s *State, c *LeaseRequest, r *Result)                  // s.GrantCount is the lease's number
	leaseEnded(s *State, h *LeaseHolder)                                // the holder has said that it admits nothing
	holderLeft(s *State, h *LeaseHolder)                                // its process ends; behind leaseEnded
	holderForgotten(s *State, key string, h *LeaseHolder)               // its lease expired long ago
	addUpdate(s *State, u *WatchUpdate, zone int, list relay.Watermark) // a watch returns; list: what the caller has of its zone's list
	afterDecode(s *State)                                               // a snapshot was read: what is empty may be nil
	idle(s *State) bool                                                 // nothing waits for time to pass
	resetAfterRestore(s *State, skip uint64)                            // see State.ResetAfterRestore
}

// components are all there are, in the order in which they are called, which is part of what commands do.
var components = []component{quotaComponent{}, outlierComponent{}, coldStartComponent{}, workflowComponent{}}

// forEachComponent calls f with every component, in order.
func forEachComponent(f func(c component)) {
	for _, c := range components {
		f(c)
	}
}

// noopComponent does nothing at any moment; components embed it for the moments that do not concern them.
type noopComponent struct{}

func (noopComponent) policyChanged(*State, Policy)                         {}
func (noopComponent) timePassed(*State, *Tick)                             {}
func (noopComponent) leaseRequested(*State, *LeaseRequest, *Result)        {}
func (noopComponent) leaseGranted(*State, *LeaseRequest, *Result)          {}
func (noopComponent) leaseEnded(*State, *LeaseHolder)                      {}
func (noopComponent) holderLeft(*State, *LeaseHolder)                      {}
func (noopComponent) holderForgotten(*State, string, *LeaseHolder)         {}
func (noopComponent) addUpdate(*State, *WatchUpdate, int, relay.Watermark) {}
func (noopComponent) afterDecode(*State)                                   {}
func (noopComponent) idle(*State) bool                                     { return true }
func (noopComponent) resetAfterRestore(*State, uint64)                     {}
