package server

import (
	"github.com/rs/zerolog"

	"yardflow/internal/control/statemachine"
)

// logNotices logs the decisions of the state machine that operators look for. All replicas take the same decisions; the
// head alone logs them.
func (s *Server) logNotices() {
	notices := s.state.fsm.DequeueNotices()
	if !s.replica.IsHead() {
		return
	}
	for i := range notices {
		line := s.logger.Info()
		if notices[i].Kind == statemachine.NoticeEndIgnored {
			line = s.logger.Debug() // owners report ends again until they have an outcome: there may be a thousand a day
		}
		logNotice(line, &notices[i])
	}
}

func logNotice(line *zerolog.Event, n *statemachine.Notice) {
	line.Str("worker", n.Worker)
	if n.Address != "" {
		line.Str("address", n.Address).Uint64("reader", n.Reader).Uint64("reading", n.Report).Int("placed", n.Runs)
	}
	if n.Task != "" {
		line.Str("task", n.Task).Uint64("run", n.Run).Stringer("how", n.EndReason).Int("attempts", n.Attempts)
	}
	line.Msg(n.Kind.String())
}
