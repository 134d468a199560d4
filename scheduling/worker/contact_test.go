package worker

import (
	"testing"
	"time"

	"yardflow/scheduling/taskrun"
)

// answerAsOtherIncarnation answers the oldest poll as another incarnation at the worker's address.
func (h *harness) answerAsOtherIncarnation() {
	h.t.Helper()
	poll := h.nextPoll()
	h.record(1, "another incarnation answers poll %d", poll.Sequence)
	h.owner.HandlePollOutcome(h.now, poll, OtherIncarnation, PollAnswer{})
	h.takeActions()
}

// TestOtherIncarnationTwiceProvesTheEnd checks that no start is sent to another incarnation, and that its second answer in a
// row proves the end of the owned incarnation, which is reported once.
func TestOtherIncarnationTwiceProvesTheEnd(t *testing.T) {
	h := afterStartOutcome(t, OtherIncarnation)
	if h.incarnationEnds != 0 || len(h.starts) != 0 {
		t.Fatalf("after one answer from another incarnation: end reported %d times, %d starts", h.incarnationEnds,
			len(h.starts))
	}
	for len(h.polls) > 1 {
		h.losePoll()
	}
	h.answerAsOtherIncarnation()
	h.tick(time.Second)
	if h.incarnationEnds != 1 || !h.owner.IncarnationEnded() || len(h.starts)+len(h.polls) != 0 {
		t.Errorf("end of the incarnation reported %d times, then %d starts and %d polls; want 1, 0 and 0",
			h.incarnationEnds, len(h.starts), len(h.polls))
	}
	h.wantReports()
	h.golden()
}

// TestOneAnswerOfAnotherIncarnationProvesNothing checks that the start is sent again once the owned incarnation answers the
// next poll.
func TestOneAnswerOfAnotherIncarnationProvesNothing(t *testing.T) {
	h := afterStartOutcome(t, OtherIncarnation)
	for len(h.starts) == 0 && len(h.polls) > 0 {
		h.answerPoll(PollAnswer{})
	}
	if h.incarnationEnds != 0 || len(h.starts) != 1 {
		t.Errorf("end of the incarnation reported %d times, %d starts; want 0 and 1", h.incarnationEnds, len(h.starts))
	}
}

// TestUnlistedWorkerThatAnswersKeepsItsRuns checks that no run is declared lost at a worker that is missing from the
// platform's list but still answers.
func TestUnlistedWorkerThatAnswersKeepsItsRuns(t *testing.T) {
	h := afterStartOutcome(t, Accepted)
	h.owner.SetListed(h.now, false)
	h.takeActions()
	for range 12 {
		h.tick(200 * time.Millisecond)
		for count := len(h.polls); count > 0; count-- {
			h.answerPoll(PollAnswer{Running: []RunStatus{{Task: taskA, Run: 1, Percent: int(h.now.Milliseconds() / 50)}}})
		}
	}
	h.wantReports()
}

// TestFullListOfEndsProvesNoLoss checks that no run is declared lost because of a list with the maximum of 500 ends,
// which may be incomplete.
func TestFullListOfEndsProvesNoLoss(t *testing.T) {
	for _, listedEnds := range []int{maxEndsPerAnswer - 1, maxEndsPerAnswer} {
		h := afterStartOutcome(t, Accepted)
		ends := make([]EndedRun, listedEnds)
		for i := range ends {
			ends[i] = EndedRun{Number: uint64(i + 1), Task: taskB, Run: uint64(i + 1), Reason: taskrun.Failed}
		}
		for range 3 { // the polls in flight were sent before the run started
			h.tick(time.Second)
			for count := len(h.polls); count > 0; count-- {
				h.answerPoll(PollAnswer{Ended: ends})
			}
		}
		lost := 0
		for _, report := range h.reports {
			if report.Ended.Reason == taskrun.Lost {
				lost++
			}
		}
		if full := listedEnds == maxEndsPerAnswer; full != (lost == 0) {
			t.Errorf("list of %d ends: %d runs declared lost, want none exactly if the list is full", listedEnds, lost)
		}
	}
}

// TestPendingRunIsNotStartedAtUnlistedWorker checks that a run that is not dispatched yet is reported as not started, so
// that its task can be placed elsewhere.
func TestPendingRunIsNotStartedAtUnlistedWorker(t *testing.T) {
	h := newHarness(t)
	h.establishContact()
	h.tick(time.Second)
	h.owner.SetListed(h.now, false)
	h.place(taskA, 1, true)
	h.wantReports("aa not-started")
	if len(h.starts) != 0 {
		t.Error("run started at a worker that is no longer listed")
	}
}

// TestRunsAtUnlistedSilentWorkerAreDeclaredLost checks that a new owner, which does not know what a previous owner has sent,
// declares runs lost if the worker is both silent and missing from the platform's list.
func TestRunsAtUnlistedSilentWorkerAreDeclaredLost(t *testing.T) {
	for name, listed := range map[string]bool{"listed": true, "unlisted": false} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.place(taskA, 1, false)
			h.owner.SetListed(h.now, listed)
			h.takeActions()
			silence := func(span time.Duration) {
				for end := h.now + span; h.now < end; {
					h.tick(200 * time.Millisecond)
					for len(h.polls) > 0 {
						h.losePoll()
					}
				}
			}
			silence(6 * time.Second) // the longest lease that a previous owner may have granted
			h.wantReports()
			silence(600 * time.Millisecond)
			if listed {
				h.wantReports()
				return
			}
			h.wantReports("aa lost")
			if evidence := h.reports[0].Evidence; evidence != UnlistedAndSilent {
				t.Errorf("evidence %v, want UnlistedAndSilent", evidence)
			}
		})
	}
}

// TestRunsAtUnlistedPartitionedWorkerAreKeptUntilLeaseExpiry checks that runs at a partitioned worker are not
// declared lost before its lease expires. An unanswered command extends this wait only while the worker is listed.
func TestRunsAtUnlistedPartitionedWorkerAreKeptUntilLeaseExpiry(t *testing.T) {
	h := afterStartOutcome(t, Accepted)
	h.place(taskB, 1, true)
	h.answerStart(Unanswered)
	h.owner.SetListed(h.now, false)
	h.takeActions()
	lostAt := time.Duration(0)
	for range 70 {
		h.tick(100 * time.Millisecond)
		for len(h.polls) > 0 {
			h.losePoll()
		}
		if lostAt == 0 && len(h.reports) > 0 {
			lostAt = h.now
		}
	}
	h.wantReports("aa lost", "bb lost")
	if least := 6000 * time.Millisecond * 100 / 98; lostAt < least {
		t.Errorf("runs declared lost after %v, but the first lease may last until %v", lostAt, least)
	}
}
