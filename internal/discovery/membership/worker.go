package membership

import (
	"strings"
	"time"
)

// Worker is what one source reports of one worker. It is stored in the snapshot.
type Worker struct {
	ID        string    `json:"id,omitempty"`     // instance id, where the source has ids
	Target    string    `json:"target,omitempty"` // full DNS name, where the source has names
	Addr      string    `json:"addr"`             // host:port
	Zone      string    `json:"zone,omitempty"`
	Kind      string    `json:"kind,omitempty"`
	Cell      int       `json:"cell,omitempty"`
	Weight    float64   `json:"weight,omitempty"`   // relative size; 1 is usual
	Priority  int       `json:"priority,omitempty"` // the lower the better
	State     State     `json:"state,omitempty"`
	StartedAt time.Time `json:"started,omitzero"` // latest start; zero: long ago
	ExpiresAt time.Time `json:"until,omitzero"`   // the end of its lifetime; zero: none
}

// key identifies an entry among those of its source.
func (w *Worker) key() string {
	if w.ID != "" {
		return w.ID
	}
	return w.Target + " " + port(w.Addr)
}

func port(addr string) string { return addr[strings.LastIndexByte(addr, ':')+1:] }

// record is a source's latest report of one worker. One whose State is Removed is a
// tombstone. It is stored in the snapshot.
type record struct {
	Worker
	Since         time.Time `json:"since"`              // of this state
	FirstNamed    time.Time `json:"named"`              // start of the uninterrupted time for which it has been named
	RetainedSince time.Time `json:"held_from,omitzero"` // missing since then, and retained
	InferredStart time.Time `json:"inferred,omitzero"`  // start taken from its first sight
}

// Entry is one worker of the merged list.
type Entry struct {
	ID, Addr    string
	Zone, Kind  string
	Cell        int
	Weight      float64
	Priority    int
	State       State // with bans
	SourceState State // by the sources alone
	Banned      bool
	StartedAt   time.Time
	Reason      string // which report decided the state, and since when
	pool        string
	names       []string // every id, address and target it goes by
}

// List is the merged list at one moment.
type List struct {
	Entries    []Entry // by id; none is Removed
	Faults     []string
	NextChange time.Time // when it may change without a new report; zero: never
}
