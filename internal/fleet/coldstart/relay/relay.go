// Package relay is the list of loan workers that one dispatcher of a zone, its reader, gets from the list service and
// publishes for all others of the zone.
//
// Invariants:
//
//   - Who reads is settled by a fencing token that grows with each reader. What comes under an earlier token is rejected,
//     so a reader that was stopped and wakes publishes nothing old.
//   - A list of an older generation than the one relayed is rejected.
//   - A dispatcher that has all changes up to the latest watermark has the reader's list, however far behind it was.
//
// The package reads no clock, does no input or output, and knows nothing of who is alive: package coldstart passes it in.
package relay

// Entry is one loan worker as the list service describes it.
type Entry struct {
	ID      string  `cbor:"1,keyasint"`
	Addr    string  `cbor:"2,keyasint,omitempty"`
	Zone    string  `cbor:"3,keyasint,omitempty"`
	Kind    string  `cbor:"4,keyasint,omitempty"`
	Cell    int     `cbor:"5,keyasint,omitempty"`
	Weight  float64 `cbor:"6,keyasint,omitempty"`
	State   uint8   `cbor:"7,keyasint,omitempty"` // a state of package membership
	Started int64   `cbor:"8,keyasint,omitempty"` // Unix time in microseconds; 0: not known, long ago
	Removed bool    `cbor:"9,keyasint,omitempty"` // in changes: it is on the list no more
}

// Watermark is up to which change a dispatcher has the list.
type Watermark struct {
	Seq uint64 // of that change; 0: it has nothing
}

// Update is what a dispatcher lacks of the list.
type Update struct {
	FencingToken uint64 `cbor:"Fence"` // of the present reader
	Generation   uint64 // of the list service
	Seq          uint64 // of the latest change
	Complete     bool   `cbor:"Whole"` // the complete list; else what has changed since the dispatcher's watermark
	Entries      []Entry
}

// Publication is what a reader has received from the list service.
type Publication struct {
	Generation uint64 // of the list service
	Complete   bool   `cbor:"Whole"`  // the complete list; else what has changed
	NewSource  bool   `cbor:"Afresh"` // of another list service, to which the reader was moved: its generations begin anew
	Entries    []Entry
}

// Change is one step of the list.
type Change struct {
	Seq     uint64
	Entries []Entry // as they are after it
}
