package dispatch

// What a dispatcher remembers. Nothing is decided here.

import (
	"cmp"
	"encoding/json"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"yardflow/coordination/gossip"
	"yardflow/scheduling/backfill"
	"yardflow/scheduling/waitestimate"
	"yardflow/scheduling/workerpool"
)

type attempt struct {
	r                    *request
	w                    *worker
	n, at                int // number within the request, place in dispatcher.out
	sent, started, heard time.Duration
	late, overdue        bool
	forced               bool // sent without counted room
	orphan               bool // given up as lost on its way; holds no room
}

type request struct {
	Request
	class                                *Class
	stat                                 *classStat
	arrived, deadline, inTime, holdUntil time.Duration
	worth                                float64 // per slot-time: the order of the held queue
	demoted, held, ended                 bool
	attempts, out                        int
	mayRun                               *worker // worker of the first attempt that may have run
	mayRunAt                             time.Duration
	pending                              []*attempt
	refusedBy                            []*worker
}

type worker struct {
	Worker
	listed, cross bool
	place, stamp  uint64  // on the circle of shares; of the last list that held it
	order         float64 // own place among equals, 0 to 1
	slow, seen    float64 // ln slowness against its kind, and evidence for it
	late          float64 // ln lateness of its most overdue job
	time          float64 // expected time of a job there, in seconds, with all penalties: the rank
	pos           int

	own, ownMem         float64 // slots and memory of our jobs
	jobs                int     // that are out there, lost ones among them
	others, othersMem   float64 // and of the other dispatchers', as they tell
	subject             uint32  // its name in what they tell
	limit               float64
	trialAt             time.Duration
	misses              int
	reportAt            time.Duration
	free, freeMem       float64 // as reported, with our own jobs added back
	bad                 float64 // recent share of errors
	tokens              float64 // slow-start budget in slot-seconds
	tokensAt, tokensFor time.Duration
	theta, omega        float64
	home                float64 // share of the worker that is this dispatcher's own
	spot                float64 // among the pools, 0 to 1
	pool                int
	freeMean            float64 // average of the free slots reported
	reported            bool
	running             float64 // slots of our jobs known to have started
	visits              int
	wait                waitestimate.WorkerWait
	startSent, okSent   time.Duration // when the latest job known to have started, or to have ended well, was sent
}

type kind struct {
	slow, seen  float64 // ln slowness of the kind, and evidence for it
	slots, more float64 // most slots seen at work, and reports of more
	growAt      time.Duration
	misses      int
}
type classStat struct {
	work, seen, vary float64 // ln of the typical work, evidence for it, and its variance
	pool             int     // of workers, the class's own
	flow             workerpool.RecentWork
}
type bucket struct {
	tokens float64
	at     time.Duration
}

// feature is one non-zero entry of phi; a nil worker is the held queue's.
type feature struct {
	w *worker
	x float64
}

type dispatcher struct {
	Settings
	rnd      *rand.Rand
	now      time.Duration
	workers  map[WorkerID]*worker
	rank     []*worker // listed workers, fastest first
	kinds    []kind
	stats    map[string]*classStat // by the class's name: places change with the settings
	tenants  []bucket
	requests map[RequestID]*request
	held     []*request
	out      []*attempt

	meanRun    float64       // ln of the typical work over all classes
	run        time.Duration // e to the meanRun
	crossing   float64       // seconds that crossing zones is taken to cost
	midSlow    float64
	startDelay [2]float64 // seconds from send to start note: own zone, other zones
	ticking    bool
	backs      float64       // jobs that may be taken back now
	forceAt    time.Duration // no forced send before this
	forceGap   float64       // seconds between forced sends
	refreshAt  time.Duration

	listAt    time.Duration // when to ask the list service next; 0: an answer or a subscription stands
	listFails int
	listStamp uint64

	phi, next   []feature // features of the open step and of the state it led to
	open        bool
	stepAt      time.Duration
	stepJobs    float64
	meanStep    float64 // seconds
	eta, omega0 float64
	omegaLen    float64 // squared length of omega
	gradient    float64 // of log pi for the open step
	actor       *worker // whose threshold the open step used; nil: none
	lastLog     time.Duration

	shares     []float64              // of the pools, in any unit
	usual      waitestimate.FleetWait // of waits at workers
	book       *gossip.Participant    // nil: the dispatchers don't talk
	toldAt     time.Duration          // when the workers' others were last brought up to date
	room       *backfill.Plan         // nil: no room is held
	share      float64                // part of its bounds that is this process's; 0: all
	fleet      float64                // slots of all listed workers
	coldPart   float64                // of what a cold worker bears, as the fleet has granted it; below 0: it grants none
	cold       float64                // part of them that is not there yet, as workers warm
	tight      bool                   // a large job is due: small ones go where they fit most tightly
	largeUntil time.Duration          // up to when large jobs are reckoned with
	trial      *worker                // the latest that was put on trial; nil: none was
	most       int                    // jobs that may be out at one worker; 0: any number, under 0: none
}

func newDispatcher(s Settings, seed uint64) *dispatcher {
	d := &dispatcher{coldPart: -1,
		Settings: s, rnd: rand.New(rand.NewPCG(seed, 0x6c696e6e65746c69)),
		workers: map[WorkerID]*worker{}, requests: map[RequestID]*request{},
		stats: map[string]*classStat{}, shares: []float64{1}, tenants: make([]bucket, len(s.Tenants)),
		meanRun: math.Log(0.2), run: 200 * time.Millisecond, startDelay: [2]float64{0.01, 0.04}, backs: backsMost,
	}
	d.numberPools()
	d.setRoom()
	return d
}

// ---- events that are only noted

func (d *dispatcher) ClientDisconnected(now time.Duration, id RequestID, out Actions) {
	d.begin(now, out)
	if r := d.requests[id]; r != nil {
		d.end(r)
	}
}

func (d *dispatcher) ProbeAnswered(now time.Duration, id WorkerID, code Code, load []float64, out Actions) {
	d.begin(now, out)
	if w := d.workers[id]; w != nil && code == OK {
		d.report(w, load, false)
	}
}

func (d *dispatcher) SetWorkerLimits(now time.Duration, most int, cold float64, out Actions) {
	d.begin(now, out)
	d.most, d.coldPart = most, cold
	d.decide(out)
}

// ---- what the dispatchers tell each other

// What dispatchers say grows by the square of their number: so many talk at the most, and by
// the price of a message no more than costs talkPrice, at talkBytes to each other one a job.
const (
	talkers   = 64
	talkPrice = 0.08
	talkBytes = 32.0
)

// exact tells that what all dispatchers have out is known, a network's delay ago: there is
// no other, or they tell. One that says nothing is taken to be down.
func (d *dispatcher) exact() bool {
	return d.DispatcherCount == 1 || d.Peers && d.DispatcherCount <= talkers &&
		float64(d.DispatcherCount-1)*talkBytes/gossip.MaxMessageBytes*d.PeerMessageCost <= talkPrice
}

// busy is how many slots of w are known to be taken, or waited for.
func (w *worker) busy() float64 { return w.own + w.others }

func (d *dispatcher) PeerMessage(now time.Duration, _ int, msg []byte, out Actions) {
	d.begin(now, out)
	if d.book != nil && d.book.Receive(now, msg) {
		d.hearsay()
		d.decide(out)
	}
}

// hearsay brings the workers' others up to date.
func (d *dispatcher) hearsay() {
	d.toldAt = d.now
	for _, w := range d.rank {
		t := d.book.PeerUsage(d.now, w.subject)
		w.others, w.othersMem = t.Slots, t.Memory
	}
}

// tell says what is out, where that is due. One dispatcher alone does, too: another process of
// its own may hear it.
func (d *dispatcher) tell(out Actions) {
	if !d.Peers || !d.exact() {
		return
	}
	if d.book == nil {
		d.book = gossip.New(d.DispatcherIndex, d.DispatcherCount, uint64(d.now.Milliseconds()/64))
	}
	if d.now-d.toldAt > gossip.HeartbeatInterval {
		d.hearsay()
	}
	if !d.book.Due(d.now) {
		return
	}
	words := make([]gossip.Usage, 0, len(d.rank))
	for _, w := range d.workers {
		if w.own > 0 {
			words = append(words, gossip.Usage{WorkerHash: w.subject, Slots: w.own, Memory: w.ownMem})
		}
	}
	gossip.SortBySlots(words)
	out.Broadcast(d.book.NextMessage(d.now, words))
}

// decide takes what decisions can be taken, and tells the others what came of it.
func (d *dispatcher) decide(out Actions) {
	d.choose(out)
	d.tell(out)
}

// moved notes that what is out has changed.
func (d *dispatcher) moved() {
	if d.book != nil {
		d.book.MarkChanged()
	}
}

// begin notes the time and keeps one timer running.
func (d *dispatcher) begin(now time.Duration, out Actions) {
	d.now = now
	if !d.ticking {
		d.ticking = true
		out.Wake(tickEvery, 0)
	}
}

// settings takes in new ones; what was counted of a tenant goes with it.
func (d *dispatcher) settings(s Settings) {
	buckets := make([]bucket, len(s.Tenants))
	for i, t := range s.Tenants {
		if j := slices.Index(d.Tenants, t); j >= 0 {
			buckets[i] = d.tenants[j]
		}
	}
	d.Settings, d.tenants = s, buckets
	if d.book != nil && !(d.Peers && d.exact()) { // nobody says any more what is out
		d.book = nil
		for _, w := range d.workers {
			w.others, w.othersMem = 0, 0
		}
	}
	d.numberPools()
	d.setRoom()
}

func (d *dispatcher) end(r *request) {
	r.ended = true
	d.unhold(r)
	if d.room != nil {
		d.room.Forget(d.now, uint64(r.ID))
	}
	d.forget(r)
}

func (d *dispatcher) forget(r *request) {
	if r.ended && r.out == 0 {
		delete(d.requests, r.ID)
	}
}

func (d *dispatcher) drop(r *request, a *attempt) {
	if a.started != 0 && !a.orphan {
		a.w.running -= r.Slots
	}
	if !a.orphan {
		a.w.own = max(a.w.own-r.Slots, 0)
		a.w.ownMem = max(a.w.ownMem-r.Memory, 0)
	}
	d.unplan(a)
	d.moved()
	a.w.jobs--
	r.out--
	r.pending = slices.DeleteFunc(r.pending, func(p *attempt) bool { return p == a })
	last := d.out[len(d.out)-1]
	d.out[a.at], last.at = last, a.at
	d.out = d.out[:len(d.out)-1]
}

func (d *dispatcher) unhold(r *request) {
	if r.held {
		r.held = false
		i := slices.Index(d.held, r)
		d.held = slices.Delete(d.held, i, i+1)
	}
}

func (a *attempt) began() time.Duration {
	if a.started != 0 {
		return a.started
	}
	return a.sent
}

func (d *dispatcher) swap(i, j int) {
	d.rank[i], d.rank[j] = d.rank[j], d.rank[i]
	d.rank[i].pos, d.rank[j].pos = i, j
}

func (d *dispatcher) kindOf(w *worker) *kind {
	for len(d.kinds) <= w.Kind {
		d.kinds = append(d.kinds, kind{slots: 1})
	}
	return &d.kinds[w.Kind]
}

// slots is the most that workers of w's kind were seen to run at once.
func (d *dispatcher) slots(w *worker) float64 { return d.kindOf(w).slots }

// rate is the speed of w as it is now, against a worker of slowness 0.
func (d *dispatcher) rate(w *worker) float64 {
	return d.warmth(w) * math.Exp(-d.kindOf(w).slow-w.slow-w.late-3*w.bad)
}

// work is the expected work of r on a worker of slowness 1, in seconds.
func (d *dispatcher) work(r *request) float64 {
	if r.WorkHint > 0 {
		return r.WorkHint.Seconds()
	}
	if r.stat.seen > 0 {
		return math.Exp(r.stat.work)
	}
	return math.Exp(d.meanRun)
}

func (d *dispatcher) expect(r *request, w *worker) float64 {
	return d.work(r) * math.Exp(d.kindOf(w).slow+w.slow)
}

func (d *dispatcher) spend(w *worker, r *request) {
	if d.warmth(w) < 1 {
		w.tokens -= r.Slots * d.expect(r, w)
	}
}

func (d *dispatcher) statOf(c *Class) *classStat {
	s := d.stats[c.Name]
	if s == nil {
		s = &classStat{vary: unknownVary}
		d.stats[c.Name] = s
	}
	return s
}

// numberPools numbers the pools as the classes are numbered.
func (d *dispatcher) numberPools() {
	for i := range d.Classes {
		d.statOf(&d.Classes[i]).pool = i
	}
}

func (d *dispatcher) fadeFlows() {
	for _, s := range d.stats {
		s.flow.Decay()
	}
}

// circle is one pool of workers, those that may be homes in the order of their places.
type circle struct {
	all, near float64 // weight of its workers, and of those that may be homes
	workers   []*worker
	sizes     []float64
}

// circles gives the pools of the listed workers; those of other zones are no homes but
// where zones are spanned.
func (d *dispatcher) circles(span bool) []circle {
	out := make([]circle, len(d.shares))
	for _, w := range slices.SortedFunc(slices.Values(d.rank), func(a, b *worker) int { return cmp.Compare(a.place, b.place) }) {
		w.home, w.pool = 0, workerpool.PoolAt(w.spot, d.shares)
		c := &out[w.pool]
		c.all += w.Weight
		if span || !w.cross {
			c.near += w.Weight
			c.workers, c.sizes = append(c.workers, w), append(c.sizes, w.Weight)
		}
	}
	return out
}

// lay makes the workers of an arc homes.
func (c *circle) lay(start, arc float64) {
	for i, part := range workerpool.ArcCoverage(c.sizes, start, arc) {
		c.workers[i].home = part
	}
}

func (d *dispatcher) omegaOf(w *worker) *float64 {
	if w == nil {
		return &d.omega0
	}
	return &w.omega
}

func (d *dispatcher) value(phi []feature) float64 {
	v := 0.0
	for _, f := range phi {
		v += f.x * *d.omegaOf(f.w)
	}
	return v
}

// log writes at most one line in logEvery.
func (d *dispatcher) log(out Actions, what, text string) {
	if d.lastLog != 0 && d.now-d.lastLog < logEvery {
		return
	}
	d.lastLog = d.now
	out.Log(what + ": " + text)
}

// project brings omega back into its ball.
func (d *dispatcher) project(scale float64) {
	d.omega0 *= scale
	d.omegaLen = d.omega0 * d.omega0
	for _, w := range d.rank {
		w.omega *= scale
		d.omegaLen += w.omega * w.omega
	}
}

// withinQuota takes one request from its tenant's own part of the quota.
func (d *dispatcher) withinQuota(tenant int) bool {
	if tenant < 0 || tenant >= len(d.tenants) || d.Tenants[tenant].Quota <= 0 {
		return true
	}
	b, rate := &d.tenants[tenant], d.Tenants[tenant].Quota/float64(d.DispatcherCount)
	b.tokens = min(b.tokens+rate*(d.now-b.at).Seconds(), max(rate, 2))
	b.at = d.now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// mix spreads an id over 64 bits (splitmix64's finish).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func zoneIndex(w *worker) int {
	if w.cross {
		return 1
	}
	return 0
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// seeSlots takes in how many slots w seems to have. More than its kind was seen
// to have counts once it comes up again and again: reports are noisy, and a start
// may be heard of before the end that made room for it.
func (d *dispatcher) seeSlots(w *worker, n float64) {
	if k := d.kindOf(w); n > k.slots {
		// Where few jobs pass, that would never be: there once is enough.
		if k.more++; k.more >= sightings || d.sparse() {
			k.slots, k.more = k.slots+1, 0
		}
	}
}

// readLoad takes a report apart: free slots and free memory (below 0: not told), errors a
// second, and jobs at work (at least 1; 0: not told). One with a value too many or too
// few, or with a figure that cannot be, is none.
func (d *dispatcher) readLoad(load []float64) (free, freeMem, errors, active float64) {
	free, freeMem = -1, -1
	if len(load) != len(d.LoadFields) {
		return
	}
	for _, v := range load {
		if !(math.Abs(v) < 1e6) { // catches what is no number, too
			return
		}
	}
	for i, f := range d.LoadFields {
		switch f {
		case LoadFreeSlots:
			free = load[i]
		case LoadFreeMemory:
			freeMem = load[i]
		case LoadErrorRate:
			errors = load[i]
		case LoadActive:
			active = max(load[i], 1)
		}
	}
	return
}

// ---- what outcomes and reports teach

// learnSpeed takes one run time apart into class, kind and worker; each moves
// by its part of the bounded residual, so a long tail cannot blur a speed.
func (d *dispatcher) learnSpeed(r *request, w *worker, run float64) {
	k, s := d.kindOf(w), r.stat
	run = math.Log(max(run, 1e-4))
	if s.seen == 0 && r.WorkHint == 0 {
		s.work = run
	}
	e := min(max(run-math.Log(d.work(r))-k.slow-w.slow, -surprise), surprise)
	few, many := 12.0, 30.0 // without a hint the job's own size is most of the residual
	if r.WorkHint > 0 {
		few, many = 3, 8
	}
	s.seen = min(s.seen+1, 200)
	s.vary += (e*e - s.vary) / (3 + s.seen)
	if r.WorkHint == 0 {
		s.work += e / (1 + s.seen)
	}
	d.meanRun += 0.01 * (math.Log(d.work(r)) - d.meanRun)
	d.run = seconds(math.Exp(d.meanRun))
	k.seen = min(k.seen+1, 200)
	k.slow += e / (3 + k.seen)
	w.seen = min(w.seen+1, many)
	w.slow += e / (few + w.seen)
}

// report takes in a load report. Our own jobs are added back, since what we
// send and end after it is known better than it tells.
func (d *dispatcher) report(w *worker, load []float64, finished bool) {
	free, freeMem, errors, active := d.readLoad(load)
	if free >= 0 && finished {
		w.free, w.freeMem, w.reportAt = free+w.own, -1, d.now
		if !w.reported {
			w.freeMean, w.reported = w.free, true
		}
		w.freeMean += 0.1 * (w.free - w.freeMean)
		if freeMem >= 0 {
			w.freeMem = freeMem + w.ownMem
		}
		if k := d.kindOf(w); free >= 1.5*k.slots && d.exact() {
			k.slots = math.Round(free) // well beyond any noise
		}
		d.seeSlots(w, math.Round(free))
	}
	if rate := active / math.Exp(d.meanRun+d.kindOf(w).slow+w.slow); errors > 0 && rate > 0 {
		w.bad = max(w.bad, 0.5*errors/(errors+rate))
	}
}

// ---- the plan of rooms: what it is told, and what it is asked

// unknownVary is the variance of ln sizes taken until jobs have shown theirs.
const unknownVary = 0.25

// largeFor is how long after a large job another is reckoned with.
const largeFor = 10 * time.Second

// enlist takes a request in.
func (d *dispatcher) enlist(r *request) {
	d.requests[r.ID] = r
	if d.room != nil && d.Backfill.IsLarge(r.Slots, d.work(r)/d.run.Seconds()) {
		d.largeUntil = d.now + largeFor
	}
}

// setRoom makes the plan, bounds it anew, or ends it, by the settings in force.
func (d *dispatcher) setRoom() {
	switch {
	case d.Backfill == nil:
		d.room, d.tight = nil, false
	case d.room == nil:
		d.room = backfill.New(*d.Backfill)
		d.SetReservationShare(d.share)
		for _, a := range d.out {
			d.plan(a)
		}
	default:
		d.room.Settings = *d.Backfill
	}
}

// plan notes an attempt's way at its worker, from its send or its start.
func (d *dispatcher) plan(a *attempt) {
	if d.room != nil && !a.orphan {
		d.room.Start(a.began(), uint64(a.w.ID), uint64(a.r.ID), a.r.Slots, d.length(a.r, a.w))
	}
}

func (d *dispatcher) unplan(a *attempt) {
	if d.room != nil {
		d.room.End(d.now, uint64(a.w.ID), uint64(a.r.ID))
	}
}

// length is what is known of r's run time at w, warm.
func (d *dispatcher) length(r *request, w *worker) backfill.RunTime {
	return backfill.RunTime{LogMean: math.Log(d.expect(r, w)), LogStdDev: math.Sqrt(r.stat.vary)}
}

// ramp is w's way from cold to warm.
func (d *dispatcher) ramp(w *worker) backfill.SlowStart {
	if w.Launched == 0 {
		return backfill.SlowStart{}
	}
	return backfill.SlowStart{Launched: w.Launched, Share: d.SlowStartShare, Time: d.SlowStartTime}
}

// capacity is how many slots of w are this dispatcher's to fill, as fits has it.
func (d *dispatcher) capacity(w *worker) float64 {
	return max(w.limit, d.homeSlots(w))
}

// spare is how many of those are free.
func (d *dispatcher) spare(w *worker) float64 { return d.capacity(w) - w.own }

// clear tells that r would not delay what room is held for at w.
func (d *dispatcher) clear(w *worker, r *request) bool {
	return d.room == nil || d.room.MayBackfill(d.now, uint64(w.ID), uint64(r.ID), r.Slots, d.capacity(w), d.length(r, w), d.ramp(w))
}

// left tells that w is no longer listed; room held there is given up.
func (d *dispatcher) left(w *worker) bool {
	if !w.listed && d.room != nil {
		d.room.RemoveWorker(d.now, uint64(w.ID))
	}
	return !w.listed
}

func (d *dispatcher) tidyRoom() {
	if d.room != nil {
		d.room.Tick(d.now, d.fleet)
	}
}

func (d *dispatcher) Reservations() *ReservationReport {
	if d.room == nil {
		return nil
	}
	return &ReservationReport{Reservations: d.room.Reservations(), IdleShare: d.room.IdleShare(), Created: d.room.Created, Fulfilled: d.room.Fulfilled,
		Expired: d.room.Expired, Backfilled: d.room.Backfilled, Delayed: d.room.Delayed}
}

func (d *dispatcher) SetReservationShare(part float64) {
	if d.share = part; d.room != nil && part > 0 {
		d.room.SetShare(part)
	}
}

// ---- the order of ranks, and the steps of the learner

func (d *dispatcher) openStep() {
	d.phi = d.features(d.phi[:0])
	d.stepJobs = float64(len(d.held) + len(d.out))
	d.stepAt, d.open = d.now, true
}

// features lists the non-zero entries of phi: held queue and slot shares, over 1+k.
func (d *dispatcher) features(into []feature) []feature {
	k := float64(1 + len(d.rank))
	if n := len(d.held); n > 0 {
		into = append(into, feature{nil, min(float64(n)/bufferSize, 1) / k})
	}
	for _, a := range d.out {
		if w := a.w; w.listed {
			into = append(into, feature{w, a.r.Slots / max(d.slots(w), w.own) / k})
		}
	}
	return into
}

// reprice prices w and moves it to its place, mostly a step or two away.
func (d *dispatcher) reprice(w *worker) {
	if !w.listed {
		return
	}
	d.price(w)
	for w.pos > 0 && d.rank[w.pos-1].time > w.time {
		d.swap(w.pos-1, w.pos)
	}
	for w.pos+1 < len(d.rank) && d.rank[w.pos+1].time < w.time {
		d.swap(w.pos, w.pos+1)
	}
}

// ---- what goes over to the dispatcher that takes over

const memoryVersion = 1

// memory is all that was learned, with nothing of requests or attempts in it:
// those end where they began. Times are of the host's clock.
type memory struct {
	Version                    int
	Speeds                     bool // what a fleet knows of kinds and classes alone, for one that may have begun already
	MeanRun, MidSlow, MeanStep float64
	Eta, Omega0, ForceGap      float64
	StartDelay                 [2]float64
	Kinds                      []kindMemory
	Classes                    map[string][2]float64 // work and seen
	Workers                    map[WorkerID]workerMemory
}

type kindMemory struct{ Slow, Seen, Slots float64 }

type workerMemory struct {
	Launched, TrialAt, ReportAt time.Duration
	Slow, Seen, Late, Bad       float64
	Limit, Theta, Omega         float64
	Free, FreeMem, FreeMean     float64
	Misses, Visits              int
	Reported                    bool
}

func (d *dispatcher) Snapshot() []byte {
	m := memory{Version: memoryVersion, MeanRun: d.meanRun, MidSlow: d.midSlow, MeanStep: d.meanStep, Eta: d.eta,
		Omega0: d.omega0, ForceGap: d.forceGap, StartDelay: d.startDelay,
		Classes: map[string][2]float64{}, Workers: map[WorkerID]workerMemory{}}
	for _, k := range d.kinds {
		m.Kinds = append(m.Kinds, kindMemory{k.slow, k.seen, k.slots})
	}
	for name, s := range d.stats {
		m.Classes[name] = [2]float64{s.work, s.seen}
	}
	for _, w := range d.rank { // the listed ones: others start anew when they are back
		m.Workers[w.ID] = workerMemory{w.Launched, w.trialAt, w.reportAt, w.slow, w.seen, w.late, w.bad, w.limit,
			w.theta, w.omega, w.free, w.freeMem, w.freeMean, w.misses, w.visits, w.reported}
	}
	text, err := json.Marshal(m)
	if err != nil {
		return nil // a figure that is not a number: better nothing than a fault
	}
	return text
}

func (d *dispatcher) Restore(text []byte) {
	var m memory
	if json.Unmarshal(text, &m) != nil || m.Version != memoryVersion {
		return
	}
	if m.Speeds {
		d.recallSpeeds(m)
		return
	}
	d.meanRun, d.midSlow, d.meanStep, d.eta, d.forceGap = m.MeanRun, m.MidSlow, m.MeanStep, m.Eta, m.ForceGap
	d.run = seconds(math.Exp(d.meanRun))
	d.omega0, d.omegaLen, d.startDelay = m.Omega0, m.Omega0*m.Omega0, m.StartDelay
	for _, k := range m.Kinds {
		d.kinds = append(d.kinds, kind{slow: k.Slow, seen: k.Seen, slots: k.Slots})
	}
	for name, s := range m.Classes {
		c := d.statOf(&Class{Name: name})
		c.work, c.seen = s[0], s[1]
	}
	for id, m := range m.Workers {
		w := d.know(id)
		w.Launched, w.trialAt, w.reportAt = m.Launched, m.TrialAt, m.ReportAt
		w.slow, w.seen, w.late, w.bad, w.limit = m.Slow, m.Seen, m.Late, m.Bad, m.Limit
		w.theta, w.omega, w.free, w.freeMem, w.freeMean = m.Theta, m.Omega, m.Free, m.FreeMem, m.FreeMean
		w.misses, w.visits, w.reported = m.Misses, m.Visits, m.Reported
		d.omegaLen += w.omega * w.omega
	}
}

// recallSpeeds takes in what others know of kinds and classes of which less is known here.
func (d *dispatcher) recallSpeeds(m memory) {
	fresh := true
	for _, s := range d.stats {
		fresh = fresh && s.seen == 0
	}
	if fresh {
		d.meanRun, d.run = m.MeanRun, seconds(math.Exp(m.MeanRun))
	}
	for i, k := range m.Kinds {
		if i == len(d.kinds) {
			d.kinds = append(d.kinds, kind{slots: 1})
		}
		if own := &d.kinds[i]; own.seen < k.Seen {
			own.slow, own.seen, own.slots = k.Slow, k.Seen, max(own.slots, k.Slots)
		}
	}
	for name, s := range m.Classes {
		if c := d.statOf(&Class{Name: name}); c.seen < s[1] {
			c.work, c.seen = s[0], s[1]
		}
	}
}

// know finds a worker's place in memory, or makes one.
func (d *dispatcher) know(id WorkerID) *worker {
	w := d.workers[id]
	if w == nil {
		w = &worker{}
		d.workers[id] = w
		w.place = mix(uint64(id))
		w.subject = uint32(w.place)
		w.spot = float64(mix(w.place)>>11) / (1 << 53)
		_, w.order = math.Modf(float64(w.place>>11)/(1<<53) + float64(d.DispatcherIndex)*0.6180339887498949)
	}
	return w
}
