package statemachine

import "yardflow/scheduling/taskrun"

// NoticeKind says what a Notice is about.
type NoticeKind uint8

// What the state machine tells operators of.
const (
	NoticeWorkerJoined   NoticeKind = iota // a worker came into the state
	NoticeWorkerUnlisted                   // the platform's list lacks a worker
	NoticeWorkerEnded                      // another life answered at a worker's address
	NoticeWorkerRemoved                    // a worker left the state
	NoticeRunLost                          // a run counts as over though no worker told its end
	NoticeFailureCounted                   // a run ended failed, and counts as an attempt
	NoticeEndIgnored                       // the end of a run that is not placed any more changed nothing
)

var noticeMessages = [...]string{"worker joined", "worker unlisted", "worker over", "worker left", "run given up", "failed run counted", "end passed over"}

// String returns the message under which the notice stands in logs.
func (k NoticeKind) String() string { return noticeMessages[k] }

// Notice tells operators of a decision that the state machine has taken, with the reading of the platform's list that was in force.
type Notice struct {
	Kind      NoticeKind
	Worker    string
	Address   string
	Task      string
	Run       uint64
	EndReason taskrun.EndReason
	Reader    SessionID // who read the list, and which of its readings it was
	Report    uint64
	Runs      int // what was placed at a worker that left
	Attempts  int // failed runs counted so far
}

// DequeueNotices returns the notices since the last call, in order.
func (f *FSM) DequeueNotices() []Notice {
	notices := f.notices
	f.notices = nil
	return notices
}

func (f *FSM) addNotice(notice Notice) { f.notices = append(f.notices, notice) }
