package simwire

// EventCode is the kind of an event.
type EventCode uint16

// Codes of events, by the names of the wire's page.
const (
	EventUp             EventCode = 1  // UP: an instance starts
	EventTargets        EventCode = 2  // TARGETS: a worker list
	EventAsk            EventCode = 3  // ASK: a request arrives
	EventHeadReceived   EventCode = 4  // HEAD_RECEIVED: the answer has begun to reach the client
	EventSettled        EventCode = 5  // SETTLED: an attempt has ended
	EventTimedOutClient EventCode = 6  // TIMED_OUT_CLIENT: the client no longer waits
	EventAlarm          EventCode = 7  // ALARM: a timer is due
	EventPong           EventCode = 8  // PONG: the result of a health probe
	EventPeerData       EventCode = 9  // PEER_DATA: a message of another instance
	EventExit           EventCode = 10 // EXIT: an instance was killed
	EventHintUpdate     EventCode = 11 // HINT_UPDATE: progress of an attempt
	EventSelect         EventCode = 12 // SELECT: the instance that the events behind it are for
)

// Values of Entry.Status.
const (
	StatusReady    = 0
	StatusDraining = 1
	StatusGone     = 2
)

// Values of Event.ListForm.
const (
	ListDelta  = 0
	ListFailed = 1
	ListFull   = 2
	ListCached = 3
)

// Values of Event.Outcome.
const (
	OutcomeOK             = 0
	OutcomeCancelled      = 1
	OutcomeTimedOut       = 4
	OutcomeRejected       = 8
	OutcomeNotSent        = 9
	OutcomeConnectionLost = 10
	OutcomeFailed         = 13
	OutcomeConnectFailed  = 14
)

// Values of Event.Topic.
const (
	TopicStarted  = 1
	TopicProgress = 2
)

// Bits of Event.Flags. The wire has more, which no decision goes by.
const (
	FlagHint  = 1 // WorkHintMs is valid
	FlagRetry = 2 // the client has marked the request as a retry
)

// WorkerAddr is a worker's address and port, packed so that they can be returned unchanged.
type WorkerAddr uint64

// Entry is one line of a worker list.
type Entry struct {
	Worker     WorkerAddr
	Zone, Kind uint16 // indices into the settings' lists
	Cell       uint16
	Status     uint8
	Capacity   float32 // relative to other workers
	LaunchedMs float64 // clock time of the last start; 0: long ago
}

// Event is one record. Which fields are set depends on Code.
type Event struct {
	Code         EventCode
	Instance     uint32     // SELECT
	Seed         uint64     // UP
	SettingsJSON []byte     // UP
	ListForm     uint8      // TARGETS
	Entries      []Entry    // TARGETS
	RequestID    uint64     // ASK, HEAD_RECEIVED, SETTLED, HINT_UPDATE, TIMED_OUT_CLIENT
	Class        uint16     // ASK: index into the settings' list
	Tenant       uint32     // ASK: index into the settings' list
	TimeLeftMs   float64    // ASK: until the client gives up
	WorkHintMs   float64    // ASK: expected work on a standard core
	Slots        float32    // ASK
	Memory       float32    // ASK
	Flags        uint8      // ASK
	Attempt      uint16     // HEAD_RECEIVED, SETTLED, HINT_UPDATE
	Worker       WorkerAddr // HEAD_RECEIVED, SETTLED, HINT_UPDATE, PONG
	Outcome      uint16     // SETTLED, PONG
	LatencyMs    float64    // HEAD_RECEIVED, SETTLED, PONG: since it was sent
	Answered     bool       // SETTLED: the request has its final answer
	Load         []float32  // SETTLED, PONG: load report, as the settings' columns; empty: none
	Topic        uint8      // HINT_UPDATE
	Value        float32    // HINT_UPDATE: for TopicProgress the fraction done
	Tag          uint64     // ALARM
	Sender       uint16     // PEER_DATA
	Message      []byte     // PEER_DATA
}

// decode reads the fields of e.Code. Those that are read and dropped (a list's version, a request's key, an outcome's
// note) are no part of any decision.
func (e *Event) decode(f *fieldReader) {
	switch e.Code {
	case EventSelect:
		e.Instance = f.u32()
	case EventUp:
		e.Seed = f.u64()
		e.SettingsJSON = f.bytes(int(f.u32()))
	case EventTargets:
		f.u64()
		e.ListForm = f.u8()
		for n := f.u32(); n > 0 && !f.truncated; n-- {
			e.Entries = append(e.Entries, Entry{Worker: f.worker(), Zone: f.u16(), Kind: f.u16(), Cell: f.u16(),
				Status: f.u8(), Capacity: f.f32(), LaunchedMs: f.f64()})
		}
	case EventAsk:
		e.RequestID, e.Class, e.Tenant = f.u64(), f.u16(), f.u32()
		f.u64()
		e.TimeLeftMs, e.WorkHintMs, e.Slots, e.Memory, e.Flags = f.f64(), f.f64(), f.f32(), f.f32(), f.u8()
	case EventHeadReceived:
		e.RequestID, e.Attempt, e.Worker, e.LatencyMs = f.u64(), f.u16(), f.worker(), f.f64()
	case EventSettled:
		e.RequestID, e.Attempt, e.Worker, e.Outcome, e.LatencyMs = f.u64(), f.u16(), f.worker(), f.u16(), f.f64()
		e.Answered = f.u8() != 0
		f.u8()
		e.Load = f.load(e.Load)
	case EventTimedOutClient:
		e.RequestID = f.u64()
	case EventAlarm:
		e.Tag = f.u64()
	case EventPong:
		e.Worker, e.Outcome, e.LatencyMs = f.worker(), f.u16(), f.f64()
		e.Load = f.load(e.Load)
	case EventPeerData:
		e.Sender = f.u16()
		e.Message = f.bytes(int(f.u16()))
	case EventHintUpdate:
		e.RequestID, e.Attempt, e.Worker, e.Topic, e.Value = f.u64(), f.u16(), f.worker(), f.u8(), f.f32()
	}
}
