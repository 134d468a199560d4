package statemachine

import "yardflow/scheduling/taskrun"

// NoticeKind says what a Notice is about.
type NoticeKind uint8

// What the state machine tells operators of.
const (
	WorkerJoined   NoticeKind = iota // a worker came into the state
	WorkerUnlisted                   // the platform's list lacks a worker
	WorkerEnded                      // another life answered at a worker's address
	WorkerLeft                       // a worker left the state
	RunGivenUp                       // a run counts as over though no worker told its end
	FailureNoted                     // a run ended failed, and counts as an attempt
	EndPassedOver                    // the end of a run that is not placed any more changed nothing
)

var noticeNames = [...]string{"worker joined", "worker unlisted", "worker over", "worker left", "run given up", "failed run counted", "end passed over"}

// String returns the message under which the notice stands in logs.
func (k NoticeKind) String() string { return noticeNames[k] }

// Notice tells operators of a decision that the state machine has taken, with the reading of the platform's list that was in force.
type Notice struct {
	Kind     NoticeKind
	Worker   string
	Address  string
	Task     string
	Run      uint64
	How      taskrun.EndReason
	Reader   SessionID // who read the list, and which of its readings it was
	Reading  uint64
	Placed   int // what was placed at a worker that left
	Attempts int // failed runs counted so far
}

// TakeNotices returns the notices since the last call, in order.
func (c *Cluster) TakeNotices() []Notice {
	notices := c.notices
	c.notices = nil
	return notices
}

func (c *Cluster) notice(notice Notice) { c.notices = append(c.notices, notice) }
