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

// addUpdate adds an update with its encoding, as the server does.
func addUpdate(o *outbox, update statemachine.Update) { o.addUpdate(&update, protocol.Encode(update)) }

// jobRemoved returns an update whose encoding is slightly longer than size bytes.
func jobRemoved(name string, size int) statemachine.Update {
	return statemachine.Update{JobRemoved: name + strings.Repeat("x", size)}
}

func usageOf(worker string, amount int64) statemachine.Update {
	return statemachine.Update{Usage: &statemachine.UsageUpdate{Worker: worker, Used: job.Resources{MemoryMB: amount}}}
}

// drainOutbox takes all messages that may be sent now, and returns their content and the size of each message.
func drainOutbox(o *outbox) (updates []statemachine.Update, outcomes []protocol.Outcome, sizes []int) {
	for message, ok := o.next(); ok; message, ok = o.next() {
		encoded := protocol.Encode(message)
		o.recordSent(len(encoded))
		sizes = append(sizes, len(encoded))
		for _, raw := range protocol.DecompressUpdates(message.Updates) {
			update := statemachine.Update{}
			if cbor.Unmarshal(raw, &update) == nil {
				updates = append(updates, update)
			}
		}
		outcomes = append(outcomes, message.Outcomes...)
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
		t.Errorf("%d updates and %d outcomes in %d messages, want 2 and 1 in one message",
			len(updates), len(outcomes), len(sizes))
	}
	if _, _, more := drainOutbox(&o); len(more) > 0 {
		t.Errorf("%d more messages, want none", len(more))
	}
}

// TestBurstOfUpdatesWaitsForAcknowledgements checks that a burst of updates does not fill a slow link: it waits at the
// control machine and is sent in order and in messages of bounded size, and a configuration overtakes it.
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
				t.Fatalf("message of %d bytes exceeds the limit", bytes)
			}
		}
		if o.inFlightBytes() > sendWindowBytes+maxMessageBytes+maxMessageBytes/8 {
			t.Fatalf("%d bytes in flight exceed the window", o.inFlightBytes())
		}
		all = append(all, updates...)
		addUpdate(&o, statemachine.Update{Config: &statemachine.ConfigUpdate{Version: int64(len(all))}})
		if updates, _, _ := drainOutbox(&o); len(updates) != 1 || updates[0].Config == nil {
			t.Fatalf("after %d updates a configuration is not sent at once", len(all))
		}
		o.acknowledge(o.sentBytes)
	}
	if len(all) != burst {
		t.Fatalf("%d updates sent, want %d", len(all), burst)
	}
	for i, update := range all {
		if !strings.HasPrefix(update.JobRemoved, fmt.Sprintf("%04d-", i)) {
			t.Fatalf("update %d is %.6s", i, update.JobRemoved)
		}
	}
	if o.backlogBytes != 0 {
		t.Errorf("backlogBytes of the empty backlog is %d", o.backlogBytes)
	}
}

// TestNewerUsageReplacesOlderUsage checks that a newer update of usage or sessions replaces the older one in the backlog,
// so that the backlog does not grow.
func TestNewerUsageReplacesOlderUsage(t *testing.T) {
	o := outbox{acknowledges: true}
	o.recordSent(sendWindowBytes)
	for i := range 1000 {
		addUpdate(&o, usageOf(fmt.Sprint("w", i%10), int64(i)))
		addUpdate(&o, statemachine.Update{Sessions: []statemachine.SessionID{1, statemachine.SessionID(i)}})
	}
	if o.backlogBytes > 2000 {
		t.Errorf("the backlog has %d bytes, want at most 2000", o.backlogBytes)
	}
	o.acknowledge(o.sentBytes)
	updates, _, _ := drainOutbox(&o)
	if len(updates) != 11 {
		t.Fatalf("%d updates, want the newest usage of ten workers and the newest sessions", len(updates))
	}
	for _, update := range updates {
		switch {
		case update.Usage != nil && update.Usage.Used.MemoryMB < 990:
			t.Errorf("%s has an outdated usage of %d", update.Usage.Worker, update.Usage.Used.MemoryMB)
		case update.Sessions != nil && update.Sessions[1] != 999:
			t.Errorf("outdated sessions of step %d", update.Sessions[1])
		}
	}
	addUpdate(&o, usageOf("w1", 5000))
	if updates, _, _ := drainOutbox(&o); len(updates) != 1 {
		t.Errorf("%d updates after another usage, want one", len(updates))
	}
}

// TestOutcomesFollowTheirUpdates checks that a dispatcher receives the updates of a command before its outcome.
func TestOutcomesFollowTheirUpdates(t *testing.T) {
	o := outbox{acknowledges: true}
	for i := range 400 {
		addUpdate(&o, jobRemoved(fmt.Sprint(i, "-"), 300))
		o.addOutcome(protocol.Outcome{Tag: uint64(i + 1)})
	}
	seen := 0
	for {
		message, ok := o.next()
		if !ok {
			break
		}
		seen += len(message.Updates)
		for _, outcome := range message.Outcomes {
			if outcome.Tag > uint64(seen) {
				t.Fatalf("outcome %d is sent before its update", outcome.Tag)
			}
		}
	}
	if seen != 400 {
		t.Errorf("%d updates sent, want 400", seen)
	}
}

// TestDispatcherWithoutAcknowledgementsIsSentAllAtOnce checks that updates do not wait for acknowledgements of a
// dispatcher of an earlier version, which sends none.
func TestDispatcherWithoutAcknowledgementsIsSentAllAtOnce(t *testing.T) {
	o := outbox{}
	for i := range 2000 {
		addUpdate(&o, jobRemoved(fmt.Sprint(i), 500))
	}
	if updates, _, _ := drainOutbox(&o); len(updates) != 2000 {
		t.Errorf("%d updates sent, want 2000", len(updates))
	}
}

func TestBacklogOverflow(t *testing.T) {
	o := outbox{acknowledges: true}
	o.recordSent(sendWindowBytes)
	for range maxBacklogBytes / (1 << 20) {
		addUpdate(&o, jobRemoved("", 1<<20))
	}
	if !o.overflows() {
		t.Errorf("a backlog of %d bytes does not overflow", o.backlogBytes)
	}
}

// TestDrainingWorkerOvertakesTheBacklog guards against a violation of the emulator's rule DRAIN: the notice that a
// worker drains waited behind thousands of other updates for the link of the worker's owner, which continued to dispatch
// to the worker.
func TestDrainingWorkerOvertakesTheBacklog(t *testing.T) {
	const burst, size = 2000, 500
	o := outbox{acknowledges: true}
	for i := range burst {
		addUpdate(&o, jobRemoved(fmt.Sprintf("%04d-", i), size))
	}
	drainOutbox(&o) // the send window is in flight, and nothing is acknowledged
	addUpdate(&o, statemachine.Update{WorkerDraining: "w"})
	updates, _, _ := drainOutbox(&o)
	if len(updates) != 1 || updates[0].WorkerDraining != "w" {
		t.Errorf("%d updates sent, want only the draining worker", len(updates))
	}
}
