package worker

import (
	"testing"
	"time"

	"yardflow/scheduling/taskrun"
)

// answerAsOtherIncarnation lets another incarnation at the address answer the oldest poll.
func (h *harness) answerAsOtherIncarnation() {
	h.t.Helper()
	poll := h.nextPoll()
	h.record(1, "another incarnation answers poll %d", poll.Sequence)
	h.owner.HandlePollOutcome(h.now, poll, OtherIncarnation, PollAnswer{})
	h.takeActions()
}

// TestOtherIncarnationTwiceProvesTheEnd: commands never reach another incarnation. Its second answer in a row proves that
// the owned one has ended, which is reported once.
func TestOtherIncarnationTwiceProvesTheEnd(t *testing.T) {
	h := afterStartOutcome(t, OtherIncarnation)
	if h.incarnationEnds != 0 || len(h.starts) != 0 {
		t.Fatalf("after one answer of another incarnation: reported %d times, %d starts", h.incarnationEnds, len(h.starts))
	}
	for len(h.polls) > 1 {
		h.losePoll()
	}
	h.answerAsOtherIncarnation()
	h.tick(time.Second)
	if h.incarnationEnds != 1 || !h.owner.IncarnationEnded() || len(h.starts)+len(h.polls) != 0 {
		t.Errorf("reported %d times; %d starts and %d polls after that", h.incarnationEnds, len(h.starts), len(h.polls))
	}
	h.wantReports()
	h.golden()
}

// TestOneAnswerOfAnotherIncarnationProvesNothing: the owned incarnation answers the next poll, and the start is sent
// again.
func TestOneAnswerOfAnotherIncarnationProvesNothing(t *testing.T) {
	h := afterStartOutcome(t, OtherIncarnation)
	for len(h.starts) == 0 && len(h.polls) > 0 {
		h.answerPoll(PollAnswer{})
	}
	if h.incarnationEnds != 0 || len(h.starts) != 1 {
		t.Errorf("reported %d times, %d starts", h.incarnationEnds, len(h.starts))
	}
}

// TestUnlistedWorkerThatAnswersKeepsItsRuns: the platform's list lacks the worker, which is alive: its runs go on.
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

// TestFullListOfEndsProvesNoLoss: a worker lists 500 ends at most, so a full list does not show what it lacks.
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
			t.Errorf("a list of %d ends: %d runs are declared lost", listedEnds, lost)
		}
	}
}

// TestUnlistedWorkerStartsNothing: what was placed before and is not dispatched yet goes elsewhere.
func TestUnlistedWorkerStartsNothing(t *testing.T) {
	h := newHarness(t)
	h.establishContact()
	h.tick(time.Second)
	h.owner.SetListed(h.now, false)
	h.place(taskA, 1, true)
	h.wantReports("aa not-started")
	if len(h.starts) != 0 {
		t.Error("started at a worker that is not listed any more")
	}
}

// TestRunsAtUnlistedSilentWorkerAreDeclaredLost: neither the list nor the worker itself shows that it is alive. By that a
// new owner, which does not know what a former one has sent, declares its runs lost.
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
			silence(6 * time.Second) // the lease that a former owner may have granted
			h.wantReports()
			silence(600 * time.Millisecond)
			if listed {
				h.wantReports()
				return
			}
			h.wantReports("aa lost")
			if evidence := h.reports[0].Evidence; evidence != UnlistedAndSilent {
				t.Errorf("evidence: %v", evidence)
			}
		})
	}
}

// TestRunsAtUnlistedPartitionedWorkerLastUntilTheLeaseExpires: runs go on until the worker's lease expires, also
// behind a partition. A command without an answer extends the wait only while the worker is listed.
func TestRunsAtUnlistedPartitionedWorkerLastUntilTheLeaseExpires(t *testing.T) {
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
		t.Errorf("declared lost after %v, its first lease may last until %v", lostAt, least)
	}
}
