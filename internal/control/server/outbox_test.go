package server

import (
	"fmt"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"yardflow/internal/control/protocol"
	"yardflow/internal/control/statemachine"
	"yardflow/scheduling/job"
)

// addUpdate adds an update as the server does, with its encoding.
func addUpdate(o *outbox, update statemachine.Update) { o.addUpdate(&update, protocol.Encode(update)) }

// jobRemoved returns an update whose encoding has about so many bytes.
func jobRemoved(name string, size int) statemachine.Update {
	return statemachine.Update{JobRemoved: name + strings.Repeat("x", size)}
}

func usageOf(worker string, amount int64) statemachine.Update {
	return statemachine.Update{Usage: &statemachine.UsageUpdate{Worker: worker, Used: job.Resources{MemoryMB: amount}}}
}

// drainOutbox takes all messages that may go out now, and returns their content and the bytes of each message.
func drainOutbox(o *outbox) (updates []statemachine.Update, outcomes []protocol.Outcome, sizes []int) {
	for down, due := o.next(); due; down, due = o.next() {
		message := protocol.Encode(down)
		o.sent(len(message))
		sizes = append(sizes, len(message))
		for _, raw := range protocol.DecompressUpdates(down.Updates) {
			update := statemachine.Update{}
			if cbor.Unmarshal(raw, &update) == nil {
				updates = append(updates, update)
			}
		}
		outcomes = append(outcomes, down.Outcomes...)
	}
	return updates, outcomes, sizes
}

func TestSmallBacklogIsOneMessage(t *testing.T) {
	o := outbox{acknowledges: true}
	addUpdate(&o, jobRemoved("a", 0))
	addUpdate(&o, usageOf("w", 1))
	o.addOutcome(protocol.Outcome{Tag: 7})
	updates, outcomes, sizes := drainOutbox(&o)
	if len(updates) != 2 || len(outcomes) != 1 || len(sizes) != 1 {
		t.Errorf("%d updates and %d outcomes in %d messages", len(updates), len(outcomes), len(sizes))
	}
	if _, _, more := drainOutbox(&o); len(more) > 0 {
		t.Errorf("%d messages more", len(more))
	}
}

// TestBurstOfUpdatesWaitsForAcknowledgements checks that a burst of updates does not fill a slow link: it waits at the
// control machine, goes out in order and in bounded messages, and a configuration overtakes it.
func TestBurstOfUpdatesWaitsForAcknowledgements(t *testing.T) {
	const burst, size = 2000, 500
	o := outbox{acknowledges: true}
	for i := range burst {
		addUpdate(&o, jobRemoved(fmt.Sprintf("%04d-", i), size))
	}
	var all []statemachine.Update
	for sent := uint64(0); ; {
		updates, _, sizes := drainOutbox(&o)
		if len(updates) == 0 {
			break
		}
		for _, bytes := range sizes {
			sent += uint64(bytes)
			if bytes > maxMessageBytes+maxMessageBytes/8 {
				t.Fatalf("a message of %d bytes", bytes)
			}
		}
		if o.inFlightBytes() > sendWindowBytes+maxMessageBytes+maxMessageBytes/8 {
			t.Fatalf("%d bytes in flight", o.inFlightBytes())
		}
		all = append(all, updates...)
		addUpdate(&o, statemachine.Update{Config: &statemachine.ConfigUpdate{Version: int64(len(all))}})
		if updates, _, _ := drainOutbox(&o); len(updates) != 1 || updates[0].Config == nil {
			t.Fatalf("after %d updates a configuration waits", len(all))
		}
		o.acknowledge(o.sentBytes)
	}
	if len(all) != burst {
		t.Fatalf("%d updates went out, want %d", len(all), burst)
	}
	for i, update := range all {
		if !strings.HasPrefix(update.JobRemoved, fmt.Sprintf("%04d-", i)) {
			t.Fatalf("update %d is %.6s", i, update.JobRemoved)
		}
	}
	if o.backlogBytes != 0 {
		t.Errorf("the empty backlog counts %d bytes", o.backlogBytes)
	}
}

// TestNewerUsageReplacesOlderUsage checks that the backlog does not grow by updates that a newer one replaces.
func TestNewerUsageReplacesOlderUsage(t *testing.T) {
	o := outbox{acknowledges: true}
	o.sent(sendWindowBytes)
	for i := range 1000 {
		addUpdate(&o, usageOf(fmt.Sprint("w", i%10), int64(i)))
		addUpdate(&o, statemachine.Update{Sessions: []statemachine.SessionID{1, statemachine.SessionID(i)}})
	}
	if o.backlogBytes > 2000 {
		t.Errorf("the backlog has %d bytes", o.backlogBytes)
	}
	o.acknowledge(o.sentBytes)
	updates, _, _ := drainOutbox(&o)
	if len(updates) != 11 {
		t.Fatalf("%d updates, want the newest of ten workers and of the sessions", len(updates))
	}
	for _, update := range updates {
		switch {
		case update.Usage != nil && update.Usage.Used.MemoryMB < 990:
			t.Errorf("%s uses %d, older usage", update.Usage.Worker, update.Usage.Used.MemoryMB)
		case update.Sessions != nil && update.Sessions[1] != 999:
			t.Errorf("sessions of step %d", update.Sessions[1])
		}
	}
	addUpdate(&o, usageOf("w1", 5000))
	if updates, _, _ := drainOutbox(&o); len(updates) != 1 {
		t.Errorf("%d updates afterwards, want one", len(updates))
	}
}

// TestOutcomesFollowTheirUpdates checks that a dispatcher learns what a command has changed before its outcome.
func TestOutcomesFollowTheirUpdates(t *testing.T) {
	o := outbox{acknowledges: true}
	for i := range 400 {
		addUpdate(&o, jobRemoved(fmt.Sprint(i, "-"), 300))
		o.addOutcome(protocol.Outcome{Tag: uint64(i + 1)})
	}
	seen := 0
	for {
		down, due := o.next()
		if !due {
			break
		}
		seen += len(down.Updates)
		for _, outcome := range down.Outcomes {
			if outcome.Tag > uint64(seen) {
				t.Fatalf("outcome %d before its update", outcome.Tag)
			}
		}
	}
	if seen != 400 {
		t.Errorf("%d updates", seen)
	}
}

// A dispatcher of a former version acknowledges nothing, so nothing waits for that.
func TestDispatcherWithoutAcknowledgementsIsSentAllAtOnce(t *testing.T) {
	o := outbox{}
	for i := range 2000 {
		addUpdate(&o, jobRemoved(fmt.Sprint(i), 500))
	}
	if updates, _, _ := drainOutbox(&o); len(updates) != 2000 {
		t.Errorf("%d updates went out", len(updates))
	}
}

func TestBacklogOverflow(t *testing.T) {
	o := outbox{acknowledges: true}
	o.sent(sendWindowBytes)
	for range maxBacklogBytes / (1 << 20) {
		addUpdate(&o, jobRemoved("", 1<<20))
	}
	if !o.overflows() {
		t.Errorf("the backlog has %d bytes", o.backlogBytes)
	}
}

// TestDrainOvertakesABurst guards against DRAIN: that a worker drains waited behind thousands of other updates for the link
// of its owner, which went on dispatching to it.
func TestDrainOvertakesABurst(t *testing.T) {
	const burst, size = 2000, 500
	o := outbox{acknowledges: true}
	for i := range burst {
		addUpdate(&o, jobRemoved(fmt.Sprintf("%04d-", i), size))
	}
	drainOutbox(&o) // what the window takes is in flight, and nothing is acknowledged
	addUpdate(&o, statemachine.Update{WorkerDraining: "w"})
	updates, _, _ := drainOutbox(&o)
	if len(updates) != 1 || updates[0].WorkerDraining != "w" {
		t.Errorf("%d updates go out, want the drain alone", len(updates))
	}
}
