package broker

// This file owns what the fleet's verdicts on workers mean here: facts that the module is handed
// with a worker, until they are too old. It must never keep a worker from use by itself.

import (
	"cmp"

	"yardflow"
	"yardflow/internal/verdict"
)

// Witness sets who notes what is seen of workers, by the clock of Limit. Before any request.
func (b *Broker) Witness(w *verdict.Witness) { b.witness = w }

// Workers is how many workers the list has.
func (b *Broker) Workers() (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.places {
		if p.told.State != linnetlift.Gone {
			n++
		}
	}
	return n
}

// Judged makes exactly these verdicts the ones that hold here. Trials that were given before go on
// where news tells of none.
func (b *Broker) Judged(all []verdict.Verdict, news bool) {
	next := map[verdict.Life]verdict.Verdict{}
	for _, v := range all {
		next[v.Of] = v
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []linnetlift.Worker
	for _, p := range b.places {
		v, condemned := next[p.of()]
		is := linnetlift.Sound
		switch {
		case !condemned:
		case news && p.judged == v.Of && p.verdict != linnetlift.Sound:
			continue
		case v.Trial != 0 && v.Trial != p.trial:
			is = linnetlift.OnTrial
		case v.Trial != 0 && p.judged == v.Of:
			is = p.verdict // it has it already
		default:
			is = linnetlift.Condemned
		}
		if v.Trial != 0 {
			p.trial = v.Trial
		}
		if is != p.verdict || condemned && p.judged != v.Of {
			p.verdict, p.judged = is, p.of()
			list = append(list, b.entry(p))
		}
	}
	if len(list) > 0 {
		b.hand(linnetlift.ListAmend, list)
	}
}

// onTrial notes that a job goes to a worker, which may be its trial: it has no more than that
// one. The caller holds mu.
func (b *Broker) onTrial(p *place) {
	if p.verdict != linnetlift.OnTrial || p.of() != p.judged {
		return
	}
	p.verdict = linnetlift.Condemned
	b.witness.Try(b.deskNow(), p.judged, p.trial)
	b.hand(linnetlift.ListAmend, []linnetlift.Worker{b.entry(p)})
}

// weights are what an outcome tells against a worker, in thousandths of a job. What never reached
// it whole may be the way's fault, and what was called off is nobody's.
var weights = map[Code]int64{Failed: verdict.One, TimedOut: verdict.One, ConnectFailed: verdict.One, Broken: verdict.One / 2}

func (b *Broker) testify(of verdict.Life, code Code) {
	if weight := weights[code]; weight > 0 || code == OK {
		b.witness.Saw(b.deskNow(), of, code == OK, cmp.Or(weight, verdict.One))
	}
}
