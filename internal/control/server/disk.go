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
	"yardflow/internal/control/protocol"
)

// diskRetryInterval is the delay before a rejected write, or a failed attempt to open the disk, is retried.
const diskRetryInterval = 200 * time.Millisecond

// Limits beyond which a disk counts as unhealthy, so that the chain should exclude this member.
const (
	// stallTimeout is the maximum time that a batch in progress may take.
	stallTimeout = 400 * time.Millisecond
	// slowBatchThreshold is the maximum time that a finished batch without a snapshot may have taken. A healthy disk
	// takes a tenth of it.
	slowBatchThreshold = 200 * time.Millisecond
	// slowDiskQuarantine is how long a disk counts as unhealthy after a slow batch; probes show whether it is still slow.
	slowDiskQuarantine = 2 * time.Second
)

// diskWrite is one item to persist: log entries, metadata or a snapshot.
type diskWrite struct {
	entries     []chain.Entry
	commitIndex uint64 // newest entry known to be committed
	metadata    []byte
	snapshot    *segment.Snapshot
	replacesLog bool   // the snapshot comes from another member and replaces the log
	onDurable   func() // called by the engine once the write is synced; may be nil
}

// disk owns the store. Its single goroutine, which newDisk starts and close ends, writes all queued writes as one batch,
// with one sync of the log.
type disk struct {
	store      *segment.Store
	logger     zerolog.Logger
	onDone     func(writes []diskWrite, freeSegments int) // passes durable writes to the engine
	onRejected func()                                     // called when the disk begins to reject writes

	mu        sync.Mutex
	queue     []diskWrite
	wake      chan struct{}
	stopped   chan struct{}
	closeOnce sync.Once

	openedAt       time.Time    // time 0 of batchStartedAt and lastSlowAt
	batchStartedAt atomic.Int64 // start of the batch in progress, ns; 0: the disk is idle
	lastSlowAt     atomic.Int64 // end of the last slow batch, ns; 0: never
	isRejecting    atomic.Bool  // the last write was rejected
}

// newDisk returns a disk whose goroutine runs until close is called.
func newDisk(store *segment.Store, logger zerolog.Logger, onDone func([]diskWrite, int), onRejected func()) *disk {
	d := &disk{store: store, logger: logger, onDone: onDone, onRejected: onRejected, wake: make(chan struct{}, 1),
		stopped: make(chan struct{}), openedAt: time.Now()}
	go d.run()
	return d
}

// close ends the goroutine of the disk once the write in progress is done; queued writes are lost. It may be called more
// than once.
func (d *disk) close() { d.closeOnce.Do(func() { close(d.stopped) }) }

// enqueue adds a write to the next batch.
func (d *disk) enqueue(write diskWrite) {
	d.mu.Lock()
	d.queue = append(d.queue, write)
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// isUnhealthy reports whether the disk rejects writes, hangs or is slow.
func (d *disk) isUnhealthy() bool {
	if d.isRejecting.Load() || d.stalledFor() > stallTimeout {
		return true
	}
	slowAt := d.lastSlowAt.Load()
	return slowAt > 0 && time.Since(d.openedAt)-time.Duration(slowAt) < slowDiskQuarantine
}

func (d *disk) isIdle() bool { return d.batchStartedAt.Load() == 0 }

// stalledFor returns how long the batch in progress has taken, or 0 if the disk is idle.
func (d *disk) stalledFor() time.Duration {
	startedAt := d.batchStartedAt.Load()
	if startedAt == 0 {
		return 0
	}
	return time.Since(d.openedAt) - time.Duration(startedAt)
}

// clock returns the time since the disk was opened, plus 1 ns, so that it never returns 0, which stands for "never".
func (d *disk) clock() int64 { return int64(time.Since(d.openedAt)) + 1 }

// run writes batches until the disk is closed.
func (d *disk) run() {
	for {
		select {
		case <-d.wake:
		case <-d.stopped:
			return
		}
		if batch := d.takeBatch(); len(batch) > 0 {
			d.writeTimed(batch)
			d.onDone(batch, d.store.FreeSegments())
		}
	}
}

func (d *disk) takeBatch() []diskWrite {
	d.mu.Lock()
	defer d.mu.Unlock()
	batch := d.queue
	d.queue = nil
	return batch
}

// writeTimed writes a batch and records whether it was slow. A batch with a snapshot is not counted, since it may take
// long on a healthy disk.
func (d *disk) writeTimed(batch []diskWrite) {
	d.batchStartedAt.Store(d.clock())
	d.writeBatch(batch)
	if d.stalledFor() > slowBatchThreshold && !hasSnapshot(batch) {
		d.lastSlowAt.Store(d.clock())
	}
	d.batchStartedAt.Store(0)
}

func hasSnapshot(batch []diskWrite) bool {
	return slices.ContainsFunc(batch, func(write diskWrite) bool { return write.snapshot != nil })
}

// writeBatch writes entries and snapshots in their order, and then the newest metadata, which supersedes the metadata of
// earlier writes.
func (d *disk) writeBatch(batch []diskWrite) {
	var records []segment.Record
	for _, write := range batch {
		for _, entry := range write.entries {
			records = append(records, segment.Record{Index: entry.Index, Epoch: entry.Epoch,
				CommitIndex: write.commitIndex, Data: entry.Data})
		}
		if write.snapshot != nil {
			d.appendLog(records)
			records = nil
			d.writeSnapshot(*write.snapshot, write.replacesLog)
		}
	}
	d.appendLog(records)
	for i := len(batch) - 1; i >= 0; i-- {
		if metadata := batch[i].metadata; metadata != nil {
			d.retryUntilWritten("metadata", func() error { return d.store.SaveMetadata(metadata) })
			break
		}
	}
}

func (d *disk) writeSnapshot(snapshot segment.Snapshot, replacesLog bool) {
	save := d.store.SaveSnapshot
	if replacesLog {
		save = d.store.InstallSnapshot
	}
	d.retryUntilWritten("snapshot", func() error { return save(snapshot) })
}

func (d *disk) appendLog(records []segment.Record) {
	if len(records) == 0 {
		return
	}
	d.retryUntilWritten("log", func() error {
		if err := d.store.Append(records); err != nil {
			return errors.Trace(err)
		}
		return errors.Trace(d.store.Sync())
	})
}

// retryUntilWritten retries a write until it succeeds or the disk is closed. A full or failing disk keeps this member out
// of the chain, and nothing is acknowledged in the meantime.
func (d *disk) retryUntilWritten(what string, write func() error) {
	for attempt := 0; ; attempt++ {
		err := write()
		if err == nil {
			d.isRejecting.Store(false)
			return
		}
		if !d.isRejecting.Swap(true) {
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

// writesDone notifies the engine that writes are durable. The disk's goroutine calls it.
func (s *Server) writesDone(writes []diskWrite, freeSegments int) {
	s.do(func() {
		s.snapshots.freeSegments = freeSegments
		for _, write := range writes {
			if write.onDurable != nil {
				write.onDurable()
			}
		}
	})
}

// probeDisk writes the hard state to an unhealthy disk that is idle, to measure whether the disk is still slow.
func (s *Server) probeDisk() {
	if s.disk.isUnhealthy() && s.disk.isIdle() {
		s.disk.enqueue(diskWrite{metadata: protocol.Encode(s.membership.consensus.HardState())})
	}
}
