package server

import (
	"github.com/rs/zerolog"

	"yardflow/internal/control/statemachine"
)

// logNotices logs the decisions of the state machine that operators search for. All replicas make the same decisions;
// only the head logs them.
func (s *Server) logNotices() {
	notices := s.state.fsm.DequeueNotices()
	if !s.replica.IsHead() {
		return
	}
	for i := range notices {
		line := s.logger.Info()
		if notices[i].Kind == statemachine.NoticeEndIgnored {
			// Owners repeat the report of an end until it has an outcome, so there may be a thousand a day.
			line = s.logger.Debug()
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
