package ingress

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"yardflow/internal/platform/ingress/budget"
)

// Cause says why a caller is refused, or its connection closed.
type Cause uint8

// Causes of refusals.
const (
	NoConnectionLeft Cause = iota // all connections of the class serve whole requests
	GaveWayToNewer                // another connection of the class needed the descriptor
	GaveWayToActive               // another request of the class needed the bytes, and this one stood still
	HeadTooLarge                  // the head is longer than the configuration allows
	HeadTooSlow                   // the head was not whole within its time
	BodyTooLarge                  // the body is longer than the configuration allows
	BodyTooSlow                   // the body was not whole within its time
	NoBytesLeft                   // the request does not fit into the bytes of the class
	AnswerNotRead                 // the caller does not take its answer
	MessageTooLarge               // a process that has not said who it is sends a long message
	causeCount
)

var causeNames = [causeCount]string{"no_connection_left", "gave_way_to_newer", "gave_way_to_active", "head_too_large", "head_too_slow",
	"body_too_large", "body_too_slow", "no_bytes_left", "answer_not_read", "message_too_large"}

// String returns the name of the cause as it appears in logs and metrics.
func (c Cause) String() string { return causeNames[c] }

var causeAdvice = [causeCount]string{
	"give the machine more descriptors and memory, or add machines",
	"find out who opens so many connections; more descriptors and memory admit more",
	"find out who sends requests and stops short of their end",
	"raise Limits.MaxHeaderBytes if such heads are meant",
	"find out who sends heads that slowly; Limits.HeaderTimeoutMs is the time",
	"raise Limits.MaxBodyBytes if such bodies are meant",
	"find out who sends bodies that slowly; the route's TimeoutMs is the time",
	"give the machine more memory, or add machines",
	"find out who does not read its answers",
	"find out who connects to the control address and is no process of this system",
}

// Advice returns what an operator can do.
func (c Cause) Advice() string { return causeAdvice[c] }

// RefusedError reports that a caller was refused before its request was carried out. The request has had no effect and
// will have none.
type RefusedError struct {
	Class budget.Class
	Cause Cause
}

// Error includes the class of the caller and the cause.
func (e *RefusedError) Error() string {
	return "a caller of " + e.Class.String() + " refused: " + e.Cause.String()
}

// Advice returns what an operator can do.
func (e *RefusedError) Advice() string { return e.Cause.Advice() }

// logInterval is the shortest time between two log lines for the same class and cause.
const logInterval = time.Second

// refusals counts refusals and logs them.
type refusals struct {
	logger zerolog.Logger

	mu       sync.Mutex
	counts   [classes][causeCount]uint64
	unlogged [classes][causeCount]uint64
	loggedAt [classes][causeCount]time.Time
}

// classes is the number of classes of callers.
const classes = int(budget.Processes) + 1

// record counts a refusal. It logs the first one, and after that one line an interval for all that have come meanwhile.
func (r *refusals) record(class budget.Class, cause Cause, caller string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[class][cause]++
	r.unlogged[class][cause]++
	now := time.Now()
	if now.Sub(r.loggedAt[class][cause]) < logInterval {
		return
	}
	r.logger.Warn().Stringer("class", class).Stringer("cause", cause).Uint64("count", r.unlogged[class][cause]).
		Str("caller", caller).Str("advice", cause.Advice()).Msg("callers refused")
	r.unlogged[class][cause] = 0
	r.loggedAt[class][cause] = now
}

// count returns how many callers of a class were refused for a cause.
func (r *refusals) count(class budget.Class, cause Cause) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[class][cause]
}
