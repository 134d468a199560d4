package server

import (
	"strings"
	"time"

	"yardflow/coordination/view"
)

// Times of reports on views that can't be made.
const (
	// obstacleLifetime is how long the obstacle of a failed proposal is shown. A member that needs another view proposes
	// again within a second.
	obstacleLifetime = 3 * time.Second
	// obstacleLogInterval is the minimum time between two log lines on obstacles.
	obstacleLogInterval = 5 * time.Second
)

// obstacleMonitor remembers the newest obstacle to the next view, for the log, the status and the metrics.
type obstacleMonitor struct {
	newest   *view.Obstacle // nil: the last proposal has led to a view, or there was none
	seenAt   time.Duration
	isLogged bool // an obstacle was logged at loggedAt
	loggedAt time.Duration
}

// observe records the consensus's present obstacle, and reports whether it is new.
func (m *obstacleMonitor) observe(now time.Duration, obstacle *view.Obstacle) bool {
	isNew := obstacle != nil && obstacle != m.newest
	if isNew {
		m.seenAt = now
	}
	m.newest = obstacle
	return isNew
}

// isLogDue reports whether an obstacle may be logged now, and if so, records that it is.
func (m *obstacleMonitor) isLogDue(now time.Duration) bool {
	if m.isLogged && now-m.loggedAt < obstacleLogInterval {
		return false
	}
	m.isLogged, m.loggedAt = true, now
	return true
}

// current returns the obstacle, or nil if the newest one is too old to hold still.
func (m *obstacleMonitor) current(now time.Duration) *view.Obstacle {
	if m.newest == nil || now-m.seenAt > obstacleLifetime {
		return nil
	}
	return m.newest
}

// text returns the present obstacle for operators, or "" if there is none.
func (m *obstacleMonitor) text(now time.Duration) string {
	obstacle := m.current(now)
	if obstacle == nil {
		return ""
	}
	text := string(obstacle.Reason)
	if len(obstacle.Missing) > 0 {
		text += "; no answer from " + strings.Join(nodesOf(obstacle.Missing), ", ")
	}
	return text
}

// logObstacle logs, at a bounded rate, why this member's proposals lead to no view.
func (s *Server) logObstacle(now time.Duration) {
	m := &s.membership
	if !m.obstacle.observe(now, m.consensus.Obstacle()) || !m.obstacle.isLogDue(now) {
		return
	}
	s.logger.Warn().Uint64("epoch", m.view().Epoch).Str("reason", string(m.obstacle.newest.Reason)).
		Strs("no_answer_from", nodesOf(m.obstacle.newest.Missing)).Strs("incomplete", nodesOf(m.incompleteWriters)).
		Msg("no further view can be agreed on")
}
