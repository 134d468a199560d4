package view

// ObstacleReason is the reason why a proposal has led to no view.
type ObstacleReason string

// Reasons of an Obstacle. Operators read them in logs and in the status.
const (
	NoMajority     ObstacleReason = "too few electors have promised"
	NoEligibleHead ObstacleReason = "no member that has promised is known to have every acknowledged entry"
	NotAccepted    ObstacleReason = "too few electors have accepted the view"
)

// Obstacle describes a proposal that has led to no view within its time.
type Obstacle struct {
	Reason ObstacleReason
	// Missing are the members that could remove the obstacle and have not answered: electors, and writers of the view in
	// force.
	Missing []Member
}

// obstacle returns why the proposal has not led to a view so far.
func (p *proposal) obstacle(base *View) *Obstacle {
	switch {
	case p.view != nil:
		return &Obstacle{NotAccepted, missing(base, p.accepted)}
	case !base.isMajority(len(p.promises)):
		return &Obstacle{NoMajority, missing(base, p.promises)}
	}
	return &Obstacle{NoEligibleHead, missing(base, p.promises)}
}

// missing returns the electors and writers of a view without those that have answered.
func missing[A any](base *View, answered map[MemberID]A) []Member {
	var members []Member
	listed := map[MemberID]bool{}
	for _, list := range [][]Member{base.Electors, base.Chain[:base.WriterCount()]} {
		for _, member := range list {
			if _, found := answered[member.ID]; !found && !listed[member.ID] {
				listed[member.ID] = true
				members = append(members, member)
			}
		}
	}
	return members
}
