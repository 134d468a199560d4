package budget

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// testLimits are small enough for tables: 4 connections, 100 bytes, of which large requests have 60.
var testLimits = Limits{
	Clients:   {Connections: 4, Bytes: 100, SmallBytes: 10, LargeBytes: 60},
	Readiness: {Connections: 1, Bytes: 10, SmallBytes: 10, LargeBytes: 10},
}

const testStall = 500 * time.Millisecond

// session is a budget with named connections.
type session struct {
	*testing.T
	budget *Budget
	now    time.Duration
	conns  map[string]*Connection
}

func newSession(t *testing.T) *session {
	return &session{T: t, budget: New(testLimits, testStall), conns: map[string]*Connection{}}
}

// open opens a connection and returns the name of the one that gave way, "refused" if there was none to give way.
func (s *session) open(name string) string {
	opened, evicted := s.budget.Open(Clients, s.now)
	if opened == nil {
		return "refused"
	}
	s.conns[name] = opened
	return s.name(evicted)
}

func (s *session) name(c *Connection) string {
	for name, other := range s.conns {
		if other == c {
			return name
		}
	}
	return ""
}

func (s *session) stage(name string, stage Stage) { s.budget.SetStage(s.conns[name], stage, s.now) }

// claim claims bytes and returns the names of the connections that gave way, or "refused".
func (s *session) claim(name string, bytes int64) string {
	evicted, granted := s.budget.Claim(s.conns[name], bytes, s.now)
	if !granted {
		return "refused"
	}
	names := ""
	for _, c := range evicted {
		names += s.name(c)
	}
	return names
}

func (s *session) expect(what, got, want string) {
	s.Helper()
	if got != want {
		s.Errorf("%s: got %q, want %q", what, got, want)
	}
}

func TestConnectionWithoutAWholeRequestGivesWayFirst(t *testing.T) {
	s := newSession(t)
	for _, name := range []string{"served", "silent", "head", "serving"} {
		s.now++
		s.open(name)
	}
	s.stage("served", Serving)
	s.stage("served", Idle)
	s.stage("head", Reading)
	s.stage("serving", Serving)
	s.expect("the silent one is the oldest without a request", s.open("new-1"), "silent")
	s.expect("then the one with part of a head", s.open("new-2"), "head")
	s.stage("new-1", Serving)
	s.stage("new-2", Serving)
	s.expect("the answer of the last one may be on its way", s.open("new-3"), "refused")
	s.now += testStall
	s.expect("then the one that is idle between requests", s.open("new-3"), "served")
	s.stage("new-3", Serving)
	s.expect("none that serves gives way", s.open("new-4"), "refused")
}

func TestConnectionWithProgressGivesWayLater(t *testing.T) {
	s := newSession(t)
	for _, name := range []string{"a", "b", "c", "d"} {
		s.open(name)
		s.stage(name, Reading)
		s.now++
	}
	s.budget.Progress(s.conns["a"], s.now)
	s.expect("a has made progress", s.open("e"), "b")
}

func TestConnectionBetweenRequestsGivesWayAfterIncompleteOnes(t *testing.T) {
	s := newSession(t)
	for _, name := range []string{"idle", "partial", "c", "d"} {
		s.open(name)
		s.stage(name, Serving)
	}
	s.stage("idle", Idle)
	s.now++
	s.stage("partial", Idle)
	s.stage("partial", Reading)
	s.expect("a part of the second request", s.open("e"), "partial")
	s.stage("e", Serving)
	s.now += testStall
	s.expect("no request under way", s.open("f"), "idle")
}

func TestCallerThatDoesNotTakeItsAnswerGivesWay(t *testing.T) {
	s := newSession(t)
	for _, name := range []string{"idle", "slow", "quick", "serving"} {
		s.open(name)
		s.stage(name, Serving)
	}
	s.stage("idle", Idle)
	s.stage("slow", Answering)
	s.now += testStall
	s.stage("quick", Answering)
	s.expect("takes nothing of its answer", s.open("e"), "slow")
	s.stage("e", Serving)
	s.expect("one that takes its answer stays", s.open("f"), "idle")
	s.stage("f", Serving)
	s.expect("all serve or take their answers", s.open("g"), "refused")
}

func TestClaimsThatStandStillGiveWay(t *testing.T) {
	s := newSession(t)
	for _, name := range []string{"a", "b", "c"} {
		s.open(name)
		s.stage(name, Reading)
	}
	s.expect("within the part of large requests", s.claim("a", 30), "")
	s.expect("within the part of large requests", s.claim("b", 30), "")
	s.expect("all of them make progress", s.claim("c", 20), "refused")
	s.now += testStall
	s.budget.Progress(s.conns["b"], s.now)
	s.expect("a stands still", s.claim("c", 20), "a")
	s.expect("what a has claimed is free, but not more", s.claim("c", 20), "refused")
	if usage := s.budget.Usage(Clients); usage != (Usage{Connections: 2, Bytes: 50}) {
		t.Errorf("usage %+v", usage)
	}
}

func TestNobodyGivesWayInVain(t *testing.T) {
	s := newSession(t)
	s.open("stalled")
	s.open("serving")
	s.open("asker")
	s.stage("stalled", Reading)
	s.claim("stalled", 10)
	s.claim("serving", 60)
	s.stage("serving", Serving)
	s.now += testStall
	s.expect("too much even without the stalled one", s.claim("asker", 95), "refused")
	s.expect("the stalled one keeps its claim", s.claim("stalled", 0), "")
}

func TestSmallRequestsHaveAPartThatLargeOnesCannotUse(t *testing.T) {
	s := newSession(t)
	for _, name := range []string{"large-1", "large-2", "small-1", "small-2"} {
		s.open(name)
		s.stage(name, Serving)
	}
	s.expect("large", s.claim("large-1", 30), "")
	s.expect("large", s.claim("large-2", 31), "refused")
	s.expect("large", s.claim("large-2", 30), "")
	s.expect("small", s.claim("small-1", 10), "")
	s.expect("small", s.claim("small-2", 10), "")
}

func TestLargeRequestThatIsAloneMayUseAll(t *testing.T) {
	s := newSession(t)
	s.open("alone")
	s.open("small")
	s.stage("small", Serving)
	s.expect("small", s.claim("small", 10), "")
	s.expect("all but the small one's", s.claim("alone", 90), "")
	s.expect("more than there is", s.claim("alone", 1), "refused")
	s.stage("alone", Idle)
	s.expect("given back with the end of the request", s.claim("small", 90), "")
}

func TestClassesDoNotWaitForEachOther(t *testing.T) {
	s := newSession(t)
	for _, name := range []string{"a", "b", "c", "d"} {
		s.open(name)
		s.stage(name, Serving)
		s.claim(name, 10)
	}
	opened, evicted := s.budget.Open(Readiness, s.now)
	if opened == nil || evicted != nil {
		t.Fatalf("a readiness check got %v and closed %v", opened, evicted)
	}
	if _, granted := s.budget.Claim(opened, 10, s.now); !granted {
		t.Error("a readiness check got no bytes")
	}
}

func TestMovedConnectionCountsInItsNewClassOnly(t *testing.T) {
	limits := Limits{Operators: {Connections: 1, Bytes: 100, SmallBytes: 100, LargeBytes: 100}, Processes: {Connections: 1}}
	b := New(limits, testStall)
	process, _ := b.Open(Operators, 0)
	b.SetStage(process, Serving, 0)
	b.Claim(process, 50, 0)
	if _, moved := b.Move(process, Processes, 0); !moved {
		t.Fatal("not moved")
	}
	if usage := b.Usage(Operators); usage != (Usage{}) {
		t.Errorf("operators hold %+v", usage)
	}
	next, _ := b.Open(Operators, 1)
	if evicted, moved := b.Move(next, Processes, 1); !moved || evicted != process {
		t.Errorf("the process that has not said who it is does not give way: %v, %v", evicted, moved)
	}
	b.SetStage(next, Serving, 2)
	third, _ := b.Open(Operators, 3)
	if _, moved := b.Move(third, Processes, 3); moved {
		t.Error("moved to a class without room")
	}
}

// TestRandomCallersKeepTheInvariants opens, moves on, claims and closes at random, and compares the budget with sums over the
// open connections.
func TestRandomCallersKeepTheInvariants(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { playRandomCallers(t, rand.New(rand.NewPCG(seed, 1))) })
	}
}

func playRandomCallers(t *testing.T, random *rand.Rand) {
	b, now := New(testLimits, testStall), time.Duration(0)
	var open []*Connection
	for range 500 {
		now += time.Duration(random.Int64N(int64(testStall)))
		if len(open) == 0 || random.IntN(3) == 0 {
			opened, evicted := b.Open(Clients, now)
			checkEvicted(t, evicted)
			if opened != nil {
				open = append(open, opened)
			}
		} else {
			act(t, b, open[random.IntN(len(open))], now, random)
		}
		open = stillOpen(open)
		checkSums(t, b, open)
	}
}

// act has one caller do something.
func act(t *testing.T, b *Budget, c *Connection, now time.Duration, random *rand.Rand) {
	switch random.IntN(6) {
	case 0:
		b.Close(c)
	case 1:
		b.Progress(c, now)
	case 2:
		b.Release(c, random.Int64N(20))
	case 3:
		b.SetStage(c, Stage(random.IntN(4)), now)
	default:
		evicted, _ := b.Claim(c, random.Int64N(40), now)
		for _, other := range evicted {
			checkEvicted(t, other)
			if other == c || now-other.progressAt < testStall {
				t.Error("a connection gave way to itself, or while it made progress")
			}
		}
	}
}

func checkEvicted(t *testing.T, c *Connection) {
	if c != nil && (c.stage == Serving || !c.closed) {
		t.Error("a connection that serves gave way, or one that gave way is open")
	}
}

func stillOpen(conns []*Connection) []*Connection {
	var open []*Connection
	for _, c := range conns {
		if !c.closed {
			open = append(open, c)
		}
	}
	return open
}

func checkSums(t *testing.T, b *Budget, open []*Connection) {
	t.Helper()
	limits, claimed, large, larges := testLimits[Clients], int64(0), int64(0), 0
	for _, c := range open {
		claimed += c.claimed
		if c.claimed > limits.SmallBytes {
			large += c.claimed
			larges++
		}
	}
	usage := b.Usage(Clients)
	if usage.Connections != len(open) || usage.Bytes != claimed {
		t.Fatalf("usage %+v, %d connections claim %d", usage, len(open), claimed)
	}
	if len(open) > limits.Connections || claimed > limits.Bytes || large > limits.LargeBytes && larges > 1 {
		t.Fatalf("over the limits: %d connections claim %d, %d of them %d", len(open), claimed, larges, large)
	}
}
