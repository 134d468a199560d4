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

// diskJob is one thing to make durable; done is called by the engine afterwards.
type diskJob struct {
	entries   []chain.Entry
	committed uint64 // up to where entries are known to be committed
	meta      []byte
	snapshot  *segment.Snapshot
	reset     bool // the snapshot comes from elsewhere: the log before it is void
	done      func()
}

// retryAfter is how long a refused write waits until it is tried again.
const retryAfter = 200 * time.Millisecond

// disk owns the store: one goroutine carries out what waits, with one sync for all of it.
type disk struct {
	store  *segment.Store
	logger zerolog.Logger
	finish func(jobs []diskJob, freeSegments int) // hands finished jobs to the engine
	// troubled is called when the disk begins to refuse writes.
	troubled func()

	mu      sync.Mutex
	queue   []diskJob
	wake    chan struct{}
	end     chan struct{}
	closing sync.Once
	busy    atomic.Int64 // since when the present batch has been written, ns on the steady clock; 0: idle
	started time.Time
	refuses atomic.Bool  // the last write was refused
	slowAt  atomic.Int64 // when a batch last took long, ns on the steady clock; 0: never
}

// Bounds of a disk that others had better do without.
const (
	stallAfter = 400 * time.Millisecond // for one batch
	slowBatch  = 200 * time.Millisecond // a sound disk takes a tenth of that
	slowFor    = 2 * time.Second        // after a slow batch; probes show whether it goes on
)

// sick reports whether the disk refuses writes, hangs or is slow.
func (d *disk) sick() bool {
	if d.refuses.Load() || d.stalledFor() > stallAfter {
		return true
	}
	at := d.slowAt.Load()
	return at > 0 && time.Since(d.started)-time.Duration(at) < slowFor
}

// close ends the disk's goroutine once it has carried out what it is at.
func (d *disk) close() { d.closing.Do(func() { close(d.end) }) }

func (d *disk) idle() bool { return d.busy.Load() == 0 }

func newDisk(store *segment.Store, logger zerolog.Logger, finish func([]diskJob, int), troubled func()) *disk {
	d := &disk{store: store, logger: logger, finish: finish, troubled: troubled, wake: make(chan struct{}, 1), end: make(chan struct{}), started: time.Now()}
	go d.run()
	return d
}

func (d *disk) add(job diskJob) {
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
	since := d.busy.Load()
	if since == 0 {
		return 0
	}
	return time.Since(d.started) - time.Duration(since)
}

func (d *disk) run() {
	for {
		select {
		case <-d.wake:
		case <-d.end:
			return
		}
		d.mu.Lock()
		batch := d.queue
		d.queue = nil
		d.mu.Unlock()
		if len(batch) == 0 {
			continue
		}
		d.busy.Store(int64(time.Since(d.started)) + 1)
		d.carryOut(batch)
		if d.stalledFor() > slowBatch && !hasSnapshot(batch) {
			d.slowAt.Store(int64(time.Since(d.started)) + 1)
		}
		d.busy.Store(0)
		d.finish(batch, d.store.FreeSegments())
	}
}

func hasSnapshot(batch []diskJob) bool {
	return slices.ContainsFunc(batch, func(job diskJob) bool { return job.snapshot != nil })
}

func (d *disk) carryOut(batch []diskJob) {
	var entries []segment.Record
	for _, job := range batch {
		for _, entry := range job.entries {
			entries = append(entries, segment.Record{Index: entry.Index, Epoch: entry.Epoch,
				CommitIndex: job.committed, Data: entry.Data})
		}
		if job.snapshot == nil {
			continue
		}
		d.log(entries)
		entries = nil
		snapshot := *job.snapshot
		if job.reset {
			d.insist("snapshot", func() error { return d.store.InstallSnapshot(snapshot) })
		} else {
			d.insist("snapshot", func() error { return d.store.SaveSnapshot(snapshot) })
		}
	}
	d.log(entries)
	for i := len(batch) - 1; i >= 0; i-- {
		if batch[i].meta != nil { // the newest holds what all before it hold
			meta := batch[i].meta
			d.insist("metadata", func() error { return d.store.SaveMetadata(meta) })
			break
		}
	}
}

func (d *disk) log(entries []segment.Record) {
	if len(entries) == 0 {
		return
	}
	d.insist("log", func() error {
		if err := d.store.Append(entries); err != nil {
			return errors.Trace(err)
		}
		return errors.Trace(d.store.Sync())
	})
}

// insist repeats what the disk refuses until it does it: a full or failing disk keeps this member
// out of the chain, and nothing is acknowledged meanwhile.
func (d *disk) insist(what string, write func() error) {
	for attempt := 0; ; attempt++ {
		err := write()
		if err == nil {
			d.refuses.Store(false)
			return
		}
		if !d.refuses.Swap(true) {
			d.troubled()
		}
		if attempt == 0 {
			d.logger.Error().Err(err).Str("what", what).Msg("the disk refuses a write; free space or replace it")
		}
		select {
		case <-time.After(retryAfter):
		case <-d.end:
			return
		}
	}
}
