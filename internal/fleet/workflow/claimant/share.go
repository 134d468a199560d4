package claimant

// This file owns how many steps a dispatcher holds at once beside fresh work. It must never starve
// either: with fresh work waiting steps keep to their share, of which one is always theirs.

// Room is what a dispatcher has to do, as far as it bears on steps.
type Room struct {
	Held    int     // steps
	Running int     // of them, at workers
	Fresh   int     // requests open that are no steps
	Waiting int     // of them, at no worker
	Share   float64 // of all that is open that may be steps while fresh work waits; 0: 0.2
	Most    int     // steps at once; 0: 256
}

// Want is how many steps to hold now, those held among them. Where no fresh work waits it is what
// runs and half as many more, so that few wait here that could run elsewhere.
func (r Room) Want() int {
	share, most := r.Share, r.Most
	if share == 0 {
		share = 0.2
	}
	if most == 0 {
		most = 256
	}
	if r.Waiting > 0 {
		return max(min(int(share*float64(r.Fresh+r.Held)), most), 1)
	}
	return min(r.Running+max(4, r.Running/2), most)
}
