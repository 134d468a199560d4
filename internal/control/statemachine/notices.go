package statemachine

import "yardflow/scheduling/taskrun"

// NoticeKind is the kind of event that a Notice describes.
type NoticeKind uint8

// Kinds of notices.
const (
	NoticeWorkerJoined   NoticeKind = iota // a worker was listed for the first time
	NoticeWorkerUnlisted                   // a worker is no longer in the platform's list
	NoticeWorkerEnded                      // another incarnation answered at a worker's address
	NoticeWorkerRemoved                    // an unlisted worker without runs was removed
	NoticeRunLost                          // a run was declared ended though its worker did not report the end
	NoticeFailureCounted                   // a failed run was counted as an attempt
	NoticeEndIgnored                       // the end of a run that is not placed was ignored
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

// String returns the log message of notices of this kind.
func (k NoticeKind) String() string { return noticeMessages[k] }

// Notice describes a decision of the state machine that operators may need to trace later. Commands queue notices; every
// replica has the same ones, and the head of the chain logs them. Fields that do not apply to its kind are empty.
type Notice struct {
	Kind      NoticeKind
	Worker    string // ID
	Address   string
	Task      string // wire name
	Run       uint64
	EndReason taskrun.EndReason
	Reader    SessionID // InstanceReader that made the newest report of the platform's list
	Report    uint64    // sequence number of that report
	Runs      int       // runs that were placed at the worker
	Attempts  int       // failed runs counted so far
}

// DequeueNotices returns the notices that were queued since the last call, in order.
func (f *FSM) DequeueNotices() []Notice {
	notices := f.notices
	f.notices = nil
	return notices
}

func (f *FSM) addNotice(notice Notice) { f.notices = append(f.notices, notice) }

// addWorkerNotice queues a notice about a worker, with the newest report of the platform's list.
func (f *FSM) addWorkerNotice(kind NoticeKind, worker *Worker) {
	f.addNotice(Notice{Kind: kind, Worker: worker.ID, Address: worker.Address, Runs: len(worker.Runs),
		Reader: f.LastReader, Report: f.LastReport})
}
