package worker

import (
	"testing"
	"time"

	"yardflow/scheduling/taskrun"
)

// answerOtherLife lets another life at the address answer the oldest look.
func (b *bench) answerOtherLife() {
	b.t.Helper()
	hold := b.nextHold()
	b.note(1, "another life answers look %d", hold.Sequence)
	b.agent.HandlePollOutcome(b.now, hold, OtherIncarnation, PollAnswer{})
	b.take()
}

// TestOtherLifeProvesTheEnd: orders never go to another life. Its second answer in a row proves that this one is over,
// and that is told once.
func TestOtherLifeProvesTheEnd(t *testing.T) {
	b := afterAnswer(t, OtherIncarnation)
	if b.overs != 0 || len(b.starts) != 0 {
		t.Fatalf("after one answer of another life: told %d times, %d starts", b.overs, len(b.starts))
	}
	for len(b.holds) > 1 {
		b.loseHold()
	}
	b.answerOtherLife()
	b.tick(time.Second)
	if b.overs != 1 || !b.agent.IncarnationEnded() || len(b.starts)+len(b.holds) != 0 {
		t.Errorf("told %d times; %d starts and %d looks go on", b.overs, len(b.starts), len(b.holds))
	}
	b.wantReports()
	b.golden()
}

// TestOneAnswerOfAnotherLifeProvesNothing: the life that is meant answers the next look, and the order goes out again.
func TestOneAnswerOfAnotherLifeProvesNothing(t *testing.T) {
	b := afterAnswer(t, OtherIncarnation)
	for len(b.starts) == 0 && len(b.holds) > 0 {
		b.answerHold(PollAnswer{})
	}
	if b.overs != 0 || len(b.starts) != 1 {
		t.Errorf("told %d times, %d starts", b.overs, len(b.starts))
	}
}

// TestUnlistedWorkerThatAnswersGoesOn: the platform's list lacks the worker, which lives; what runs there stays.
func TestUnlistedWorkerThatAnswersGoesOn(t *testing.T) {
	b := afterAnswer(t, Accepted)
	b.agent.SetListed(b.now, false)
	b.take()
	for range 12 {
		b.tick(200 * time.Millisecond)
		for count := len(b.holds); count > 0; count-- {
			b.answerHold(PollAnswer{Running: []RunStatus{{Task: taskA, Run: 1, Percent: int(b.now.Milliseconds() / 50)}}})
		}
	}
	b.wantReports()
}

// TestFullListProvesNoEnd: a worker tells 500 ends at once, so a full list does not show what it lacks.
func TestFullListProvesNoEnd(t *testing.T) {
	for _, told := range []int{endsAtOnce - 1, endsAtOnce} {
		b := afterAnswer(t, Accepted)
		ends := make([]EndedRun, told)
		for i := range ends {
			ends[i] = EndedRun{Number: uint64(i + 1), Task: taskB, Run: uint64(i + 1), Reason: taskrun.Failed}
		}
		for range 3 { // the looks under way were sent before the run began
			b.tick(time.Second)
			for count := len(b.holds); count > 0; count-- {
				b.answerHold(PollAnswer{Ended: ends})
			}
		}
		lost := 0
		for _, report := range b.reports {
			if report.Ended.Reason == taskrun.Lost {
				lost++
			}
		}
		if full := told == endsAtOnce; full != (lost == 0) {
			t.Errorf("a list of %d ends: %d runs are given up", told, lost)
		}
	}
}

// TestUnlistedWorkerStartsNothing: what was placed before and is not ordered yet goes elsewhere.
func TestUnlistedWorkerStartsNothing(t *testing.T) {
	b := newBench(t)
	b.contact()
	b.tick(time.Second)
	b.agent.SetListed(b.now, false)
	b.place(taskA, 1, true)
	b.wantReports("aa not-started")
	if len(b.starts) != 0 {
		t.Error("started at a worker that is not listed any more")
	}
}

// TestUnlistedWorkerThatIsSilentIsGivenUp: neither the list nor the worker itself shows that it lives. A new owner,
// who does not know what a former one has ordered, gives its runs up by that.
func TestUnlistedWorkerThatIsSilentIsGivenUp(t *testing.T) {
	for name, listed := range map[string]bool{"listed": true, "unlisted": false} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.place(taskA, 1, false)
			b.agent.SetListed(b.now, listed)
			b.take()
			silence := func(span time.Duration) {
				for end := b.now + span; b.now < end; {
					b.tick(200 * time.Millisecond)
					for len(b.holds) > 0 {
						b.loseHold()
					}
				}
			}
			silence(6 * time.Second) // for which a former owner may have had it hold
			b.wantReports()
			silence(600 * time.Millisecond)
			if listed {
				b.wantReports()
				return
			}
			b.wantReports("aa lost")
			if evidence := b.reports[0].Evidence; evidence != UnlistedAndSilent {
				t.Errorf("evidence: %v", evidence)
			}
		})
	}
}

// TestUnlistedWorkerThatIsCutOffHoldsOn: what runs at a worker goes on until its hold is over, also where nobody sees it
// any more. An order without an answer lengthens the wait only as long as the worker is listed.
func TestUnlistedWorkerThatIsCutOffHoldsOn(t *testing.T) {
	b := afterAnswer(t, Accepted)
	b.place(taskB, 1, true)
	b.answerStart(Unanswered)
	b.agent.SetListed(b.now, false)
	b.take()
	over := time.Duration(0)
	for range 70 {
		b.tick(100 * time.Millisecond)
		for len(b.holds) > 0 {
			b.loseHold()
		}
		if over == 0 && len(b.reports) > 0 {
			over = b.now
		}
	}
	b.wantReports("aa lost", "bb lost")
	if least := 6000 * time.Millisecond * 100 / 98; over < least {
		t.Errorf("given up after %v, its first hold may last until %v", over, least)
	}
}
