package job

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Digest sums up which jobs are open and how far each has come. The replicated state and a dispatcher that has the same
// picture of the dispatcher's open jobs have the same digest. The order of jobs does not matter.
type Digest struct {
	Jobs int    `cbor:"1,keyasint"` // number of open jobs
	Sum  uint64 `cbor:"2,keyasint"`
}

// Progress sums up how far a job has come.
type Progress struct {
	Placed int    // tasks that are placed
	Runs   uint64 // runs of all tasks so far
	Done   int    // tasks that have ended done, by the counts from which steps become ready
}

// Progress returns how far the job has come.
func (j *Job) Progress() Progress {
	progress := Progress{Done: j.doneCount()}
	for _, task := range j.Tasks {
		progress.Runs += task.Run
		if task.Worker != "" {
			progress.Placed++
		}
	}
	return progress
}

func (j *Job) doneCount() int {
	done := 0
	for _, count := range j.DoneTasks {
		done += count
	}
	return done
}

// Add adds an open job to the digest.
func (d *Digest) Add(id string, progress Progress) {
	encoded := []byte(id)
	encoded = binary.LittleEndian.AppendUint64(encoded, uint64(progress.Placed))
	encoded = binary.LittleEndian.AppendUint64(encoded, progress.Runs)
	encoded = binary.LittleEndian.AppendUint64(encoded, uint64(progress.Done))
	d.Jobs++
	d.Sum += xxhash.Sum64(encoded)
}
