package server

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"yardflow/coordination/chain"
	"yardflow/coordination/segment"
)

// diskWrite is one thing to make durable; done is called by the engine afterwards.
type diskWrite struct {
	entries     []chain.Entry
	commitIndex uint64 // up to where entries are known to be committed
	metadata    []byte
	snapshot    *segment.Snapshot
	replacesLog bool // the snapshot comes from elsewhere: the log before it is void
	onDurable   func()
}

// diskRetryInterval is how long a refused write waits until it is tried again.
const diskRetryInterval = 200 * time.Millisecond

// disk owns the store: one goroutine carries out what waits, with one sync for all of it.
type disk struct {
	store  *segment.Store
	logger zerolog.Logger
	onDone func(jobs []diskWrite, freeSegments int) // hands finished jobs to the engine
	// onRejected is called when the disk begins to refuse writes.
	onRejected func()

	mu             sync.Mutex
	queue          []diskWrite
	wake           chan struct{}
	stopped        chan struct{}
	closeOnce      sync.Once
	batchStartedAt atomic.Int64 // since when the present batch has been written, ns on the steady clock; 0: idle
	openedAt       time.Time
	rejects        atomic.Bool  // the last write was refused
	lastSlowAt     atomic.Int64 // when a batch last took long, ns on the steady clock; 0: never
}

// Bounds of a disk that others had better do without.
const (
	stallTimeout       = 400 * time.Millisecond // for one batch
	slowBatchThreshold = 200 * time.Millisecond // a sound disk takes a tenth of that
	slowDiskQuarantine = 2 * time.Second        // after a slow batch; probes show whether it goes on
)

// isUnhealthy reports whether the disk refuses writes, hangs or is slow.
func (d *disk) isUnhealthy() bool {
	if d.rejects.Load() || d.stalledFor() > stallTimeout {
		return true
	}
	at := d.lastSlowAt.Load()
	return at > 0 && time.Since(d.openedAt)-time.Duration(at) < slowDiskQuarantine
}

// close ends the disk's goroutine once it has carried out what it is at.
func (d *disk) close() { d.closeOnce.Do(func() { close(d.stopped) }) }

func (d *disk) isIdle() bool { return d.batchStartedAt.Load() == 0 }

func newDisk(store *segment.Store, logger zerolog.Logger, finish func([]diskWrite, int), troubled func()) *disk {
	d := &disk{store: store, logger: logger, onDone: finish, onRejected: troubled, wake: make(chan struct{}, 1), stopped: make(chan struct{}), openedAt: time.Now()}
	go d.run()
	return d
}

func (d *disk) enqueue(job diskWrite) {
	d.mu.Lock()
	d.queue = append(d.queue, job)
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// stalledFor returns how long the disk has made no progress with what it was given.
func (d *disk) stalledFor() time.Duration {
	since := d.batchStartedAt.Load()
	if since == 0 {
		return 0
	}
	return time.Since(d.openedAt) - time.Duration(since)
}

func (d *disk) run() {
	for {
		select {
		case <-d.wake:
		case <-d.stopped:
			return
		}
		d.mu.Lock()
		batch := d.queue
		d.queue = nil
		d.mu.Unlock()
		if len(batch) == 0 {
			continue
		}
		d.batchStartedAt.Store(int64(time.Since(d.openedAt)) + 1)
		d.writeBatch(batch)
		if d.stalledFor() > slowBatchThreshold && !hasSnapshot(batch) {
			d.lastSlowAt.Store(int64(time.Since(d.openedAt)) + 1)
		}
		d.batchStartedAt.Store(0)
		d.onDone(batch, d.store.FreeSegments())
	}
}

func hasSnapshot(batch []diskWrite) bool {
	return slices.ContainsFunc(batch, func(job diskWrite) bool { return job.snapshot != nil })
}

func (d *disk) writeBatch(batch []diskWrite) {
	var entries []segment.Record
	for _, job := range batch {
		for _, entry := range job.entries {
			entries = append(entries, segment.Record{Index: entry.Index, Epoch: entry.Epoch,
				CommitIndex: job.commitIndex, Data: entry.Data})
		}
		if job.snapshot == nil {
			continue
		}
		d.appendLog(entries)
		entries = nil
		snapshot := *job.snapshot
		if job.replacesLog {
			d.retryUntilWritten("snapshot", func() error { return d.store.InstallSnapshot(snapshot) })
		} else {
			d.retryUntilWritten("snapshot", func() error { return d.store.SaveSnapshot(snapshot) })
		}
	}
	d.appendLog(entries)
	for i := len(batch) - 1; i >= 0; i-- {
		if batch[i].metadata != nil { // the newest holds what all before it hold
			meta := batch[i].metadata
			d.retryUntilWritten("metadata", func() error { return d.store.SaveMetadata(meta) })
			break
		}
	}
}

func (d *disk) appendLog(entries []segment.Record) {
	if len(entries) == 0 {
		return
	}
	d.retryUntilWritten("log", func() error {
		if err := d.store.Append(entries); err != nil {
			return errors.Trace(err)
		}
		return errors.Trace(d.store.Sync())
	})
}

// retryUntilWritten repeats what the disk refuses until it does it: a full or failing disk keeps this member
// out of the chain, and nothing is acknowledged meanwhile.
func (d *disk) retryUntilWritten(what string, write func() error) {
	for attempt := 0; ; attempt++ {
		err := write()
		if err == nil {
			d.rejects.Store(false)
			return
		}
		if !d.rejects.Swap(true) {
			d.onRejected()
		}
		if attempt == 0 {
			d.logger.Error().Err(err).Str("what", what).Msg("the disk refuses a write; free space or replace it")
		}
		select {
		case <-time.After(diskRetryInterval):
		case <-d.stopped:
			return
		}
	}
}
