package membership

import (
	"strings"
	"time"
)

// Worker is the report of one source about one worker. It is stored in the snapshot.
type Worker struct {
	ID        string    `json:"id,omitempty"`     // instance id, if the source has ids
	Target    string    `json:"target,omitempty"` // full DNS name, if the source has names
	Addr      string    `json:"addr"`             // host:port
	Zone      string    `json:"zone,omitempty"`
	Kind      string    `json:"kind,omitempty"`
	Cell      int       `json:"cell,omitempty"`
	Weight    float64   `json:"weight,omitempty"`   // relative capacity; usually 1
	Priority  int       `json:"priority,omitempty"` // lower is better
	State     State     `json:"state,omitempty"`
	StartedAt time.Time `json:"started,omitzero"` // latest start; zero if it was long ago
	ExpiresAt time.Time `json:"until,omitzero"`   // end of the lifetime of this entry; zero if it has none
}

// key identifies an entry within its source.
func (w *Worker) key() string {
	if w.ID != "" {
		return w.ID
	}
	return w.Target + " " + port(w.Addr)
}

func port(addr string) string { return addr[strings.LastIndexByte(addr, ':')+1:] }

// record is a source's latest report about one worker. A record whose State is Removed is
// a tombstone. Records are stored in the snapshot.
type record struct {
	Worker
	Since         time.Time `json:"since"`              // start of the current State; a later StartedAt resets it
	FirstNamed    time.Time `json:"named"`              // since when the source has named the worker without interruption
	RetainedSince time.Time `json:"held_from,omitzero"` // since when a missing worker is retained; zero if it is not
	InferredStart time.Time `json:"inferred,omitzero"`  // start inferred from the first appearance of the name or address
}

// Entry is one worker of the merged list.
type Entry struct {
	ID, Addr    string
	Zone, Kind  string
	Cell        int
	Weight      float64
	Priority    int
	State       State // including bans
	SourceState State // without bans
	Banned      bool
	StartedAt   time.Time
	Reason      string // which report decided the state, and since when
	pool        string
	names       []string // every id, address and target of the worker
}

// List is the merged list at one moment.
type List struct {
	Entries    []Entry // sorted by id; none is Removed
	Faults     []string
	NextChange time.Time // when the list may change without a new report; zero if never
}
