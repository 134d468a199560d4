package cluster

// NoticeKind says what a Notice is about.
type NoticeKind uint8

// What the state machine tells operators of.
const (
	WorkerJoined  NoticeKind = iota // a worker came into the state
	WorkerLeft                      // a worker left the state
	RunGivenUp                      // a run counts as over though no worker told its end
	FailureNoted                    // a run ended failed, and counts as an attempt
	EndPassedOver                   // the end of a run that is not placed any more changed nothing
)

var noticeNames = [...]string{"worker joined", "worker left", "run given up", "failed run counted", "end passed over"}

// String returns the message under which the notice stands in logs.
func (k NoticeKind) String() string { return noticeNames[k] }

// Evidence is what a decision to give something up rests on.
type Evidence uint8

// Kinds of evidence.
const (
	NoEvidence     Evidence = iota
	OffTheList              // readings of the platform's list lack the worker
	AddressReused           // the platform's list has another worker at the address
	OwnersFinding           // the worker's owner found it out; its own log says how
	ToldByItsOwner          // the worker listed the end
)

var evidenceNames = [...]string{"", "off the list", "address reused", "owner's finding", "told by the worker"}

// String returns the evidence's name in logs.
func (e Evidence) String() string { return evidenceNames[e] }

// Notice tells operators of a decision that the state machine has taken, with what it rests on.
type Notice struct {
	Kind      NoticeKind
	Worker    string
	Address   string
	Successor string // the worker at the address, with AddressReused
	Task      string
	Run       uint64
	How       How
	Evidence  Evidence
	Reader    SessionID // who read the list, and which of its readings it was
	Reading   uint64
	Placed    int // what was placed at a worker that left
	Attempts  int // failed runs counted so far
}

// TakeNotices returns the notices since the last call, in order.
func (c *Cluster) TakeNotices() []Notice {
	notices := c.notices
	c.notices = nil
	return notices
}

func (c *Cluster) notice(notice Notice) { c.notices = append(c.notices, notice) }
