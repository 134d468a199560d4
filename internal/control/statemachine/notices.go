package statemachine

import "yardflow/scheduling/taskrun"

// NoticeKind says what a Notice is about.
type NoticeKind uint8

// What operators are notified of.
const (
	NoticeWorkerJoined   NoticeKind = iota // a worker was listed for the first time
	NoticeWorkerUnlisted                   // the platform's list no longer names a worker
	NoticeWorkerEnded                      // another incarnation answered at a worker's address
	NoticeWorkerRemoved                    // an unlisted worker without runs was removed
	NoticeRunLost                          // a run counts as ended though its worker never reported the end
	NoticeFailureCounted                   // a failed run was counted as an attempt
	NoticeEndIgnored                       // the end of a run that is not placed any more changed nothing
)

// noticeMessages are log messages that operators search for; docs/OPERATING.md lists them.
var noticeMessages = [...]string{
	NoticeWorkerJoined:   "worker joined",
	NoticeWorkerUnlisted: "worker unlisted",
	NoticeWorkerEnded:    "worker ended",
	NoticeWorkerRemoved:  "worker removed",
	NoticeRunLost:        "run declared lost",
	NoticeFailureCounted: "failed run counted",
	NoticeEndIgnored:     "run end ignored",
}

// String returns the message under which the notice is logged.
func (k NoticeKind) String() string { return noticeMessages[k] }

// Notice is a decision of the state machine that operators may ask about later. Commands queue notices; every replica
// has the same ones, and the head of the chain logs them. Fields that do not concern its kind are empty.
type Notice struct {
	Kind      NoticeKind
	Worker    string // ID
	Address   string
	Task      string // wire name
	Run       uint64
	EndReason taskrun.EndReason
	Reader    SessionID // reader of the newest report of the platform's list, and that report's sequence number
	Report    uint64
	Runs      int // runs that were placed at the worker
	Attempts  int // failed runs counted so far
}

// DequeueNotices returns the notices that were queued since the last call, in order.
func (f *FSM) DequeueNotices() []Notice {
	notices := f.notices
	f.notices = nil
	return notices
}

func (f *FSM) addNotice(notice Notice) { f.notices = append(f.notices, notice) }

// addWorkerNotice queues a notice about a worker, with the report of the platform's list that was the newest.
func (f *FSM) addWorkerNotice(kind NoticeKind, worker *Worker) {
	f.addNotice(Notice{Kind: kind, Worker: worker.ID, Address: worker.Address, Runs: len(worker.Runs),
		Reader: f.LastReader, Report: f.LastReport})
}
