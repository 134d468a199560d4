package emulator

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"
)

// Times of a loss while a view is not active yet.
const (
	newViewWait     = 4 * time.Second       // in which a view without the missing writer has to begin
	viewPoll        = time.Millisecond      // between two looks for it
	longestViewAge  = 30 * time.Millisecond // of the new view when a disk is lost
	shortestAbsence = 700 * time.Millisecond
	longestAbsence  = 2 * time.Second
	secondKillPause = 400 * time.Millisecond
)

// shownView is a view as a control machine's status shows it.
type shownView struct {
	Epoch  uint64
	Chain  []string
	Copies int
}

// shownView returns the view that a machine shows.
func (c *core) shownView() (view shownView, ok bool) {
	if !c.up() {
		return view, false
	}
	status, text := c.cluster.call(http.MethodGet, "http://"+c.cluster.Address(c.name)+"/-/status", "", 200*time.Millisecond, "")
	ok = status == http.StatusOK && json.Unmarshal([]byte(text), &view) == nil && len(view.Chain) > 0
	return view, ok
}

// newestView returns the newest view that a machine shows.
func (y *Cluster) newestView() (newest shownView) {
	for _, one := range y.Cores() {
		if view, ok := one.shownView(); ok && view.Epoch > newest.Epoch {
			newest = view
		}
	}
	return newest
}

// awaitViewAfter waits for a view after an epoch, and returns the newest one.
func (y *Cluster) awaitViewAfter(epoch uint64) shownView {
	for end := time.Now().Add(newViewWait); time.Now().Before(end); time.Sleep(viewPoll) {
		if view := y.newestView(); view.Epoch > epoch {
			return view
		}
	}
	return y.newestView()
}

// coreNamed returns the control machine of a name, or nil if it was replaced.
func (y *Cluster) coreNamed(name string) *core {
	cores := y.Cores()
	if at := slices.IndexFunc(cores, func(c *core) bool { return c.name == name }); at >= 0 {
		return cores[at]
	}
	return nil
}

// takeAway lets a machine fall silent in one of several ways, and returns how it comes back with its disk.
func (c *core) takeAway(random *rand.Rand) (comeBack func()) {
	switch random.IntN(5) {
	case 0:
		return c.Freeze()
	case 1:
		cutOff(c.cluster, c.name, true, true)
		return func() { cutOff(c.cluster, c.name, true, false) }
	case 2:
		c.PowerOff()
		return c.Back
	}
	c.Kill()
	return c.Back
}

// loseDiskOfNewView takes a writer away and, as soon as the next view has begun without it, the disks of members of that view,
// its head first: as many as are tolerated. In part of the cases another machine, or all, are killed in the same moment, or the
// writer again as it comes back. All machines come back.
func loseDiskOfNewView(y *Cluster, random *rand.Rand, _ time.Duration) {
	before := y.newestView()
	if before.Copies == 0 {
		return
	}
	missing := y.coreNamed(before.Chain[random.IntN(before.Copies)])
	if missing == nil {
		return
	}
	comeBack := missing.takeAway(random)
	view := y.awaitViewAfter(before.Epoch)
	time.Sleep(time.Duration(random.Int64N(int64(longestViewAge))))
	returns := []func(){}
	for _, name := range view.Chain[:min(y.Shape.Tolerate, len(view.Chain))] {
		if lost := y.coreNamed(name); lost != nil && lost != missing {
			lost.PowerOff()
			lost.disk.Wipe()
			returns = append(returns, lost.Back)
		}
	}
	returns = append(returns, killSome(y, random, missing)...)
	time.Sleep(shortestAbsence + time.Duration(random.Int64N(int64(longestAbsence-shortestAbsence))))
	comeBack()
	for _, back := range returns {
		back()
	}
	if random.IntN(4) == 0 && missing.up() {
		time.Sleep(time.Duration(random.Int64N(int64(secondKillPause))))
		missing.Kill()
		time.Sleep(secondKillPause)
		missing.Back()
	}
}

// killSome kills no other machine, one or all, and returns how they come back.
func killSome(y *Cluster, random *rand.Rand, except *core) (returns []func()) {
	count := []int{0, 0, 1, len(y.Cores())}[random.IntN(4)]
	for _, one := range y.Cores() {
		if count > 0 && one != except && one.up() {
			one.Kill()
			returns = append(returns, one.Back)
			count--
		}
	}
	return returns
}

// newViewLost is the final fault of a view that loses its head before it is active.
func newViewLost(y *Cluster, random *rand.Rand, f *finalFault) {
	f.awaitMoment(y, random)
	loseDiskOfNewView(y, random, 0)
}

// TestDiskLostBeforeTheNextViewIsActive guards against a core that never serves again once a writer was killed and the head of
// the next view has lost its disk before that view was active (review/9).
func TestDiskLostBeforeTheNextViewIsActive(t *testing.T) {
	playFinalFaults(t, newViewLost, inactiveViewsInTest)
}
