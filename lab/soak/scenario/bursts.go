package scenario

import (
	"math/rand/v2"
	"time"

	"yardflow/internal/testing/emulator"
	"yardflow/scheduling/job"
)

// Spans of bursts of jobs, and of the freezes behind them.
const (
	burstSpan   = 4 * time.Millisecond   // within which a control machine freezes after a burst was sent
	briefFreeze = 180 * time.Millisecond // shorter than a lost heartbeat
	brieflyOff  = time.Second            // between two such freezes
)

// burstStream is the stream of random numbers of a burst's clients, and above.
const burstStream = 2_000_000

// sendBurst hands jobs in at once, each over a connection of its own, and lets clients follow them to their end: at one
// dispatcher, or spread over all.
func (s *soak) sendBurst(random *rand.Rand, requests []job.Request, spread bool) {
	front := random.IntN(len(s.fronts))
	for i, request := range requests {
		at := s.fronts[front]
		if spread {
			at = s.fronts[i%len(s.fronts)]
		}
		own := s.random(burstStream + random.Uint64()%burstStream)
		s.bursts.Go(func() {
			c := &caller{soak: s, random: own}
			defer c.hangUp()
			_ = c.connectTo(at) // else to any, as for other clients
			c.followJob(request, emulator.EncodeJob(request))
		})
	}
}

// freezeBehindBursts freezes each control machine in turn for a moment, right behind a burst of jobs with short tasks: what
// the others commit meanwhile comes to it as one batch.
func (s *soak) freezeBehindBursts(random *rand.Rand) {
	for _, core := range s.cores {
		s.count("brief freezes of cores behind bursts")
		end := s.cluster.BeginTrouble(core.name)
		s.sendBurst(random, s.cluster.ShortBurst(random), true)
		time.Sleep(between(random, 0, burstSpan))
		core.freeze()
		time.Sleep(briefFreeze)
		core.thaw()
		end()
		time.Sleep(brieflyOff)
	}
}

// handInHopelessJobs hands in jobs that can never be done, and long ones behind them that need the same workers.
func (s *soak) handInHopelessJobs(random *rand.Rand) {
	s.count("bursts of hopeless jobs")
	s.sendBurst(random, s.cluster.HopelessBurst(random), false)
}
