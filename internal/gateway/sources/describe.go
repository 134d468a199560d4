package sources

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// KnowsWorker reports whether a worker goes by that name, or did until it was removed.
func (m *Merger) KnowsWorker(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.merged.Find(name)
	return ok || len(m.catalog.Explain(time.Now(), name)) > 0
}

// Describe returns one line on all sources, for the console.
func (m *Merger) Describe() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := []string{fmt.Sprintf("rule %s, told %d times", m.inForce.Get().Membership.Rule, m.publishCount)}
	for _, s := range m.catalog.Summaries() {
		text := fmt.Sprintf("%s: %d serving, %d draining, %d held, %d tombstones", s.Name, s.Serving, s.Draining, s.Retained, s.Tombstones)
		switch {
		case !s.Reported && !s.UnresponsiveSince.IsZero():
			text += fmt.Sprintf(", never answered, asked since %s", clockText(s.UnresponsiveSince))
		case !s.Reported:
			text += ", not heard yet"
		case !s.UnresponsiveSince.IsZero():
			text += ", silent since " + clockText(s.UnresponsiveSince)
		}
		if r := m.resolvers[s.Name]; r != nil {
			text += r.describeQueries()
		}
		out = append(out, text)
	}
	if n := len(m.merged.Faults); n > 0 {
		out = append(out, fmt.Sprintf("%d faults: %s", n, m.merged.Faults[0]))
	}
	return strings.Join(out, "; ")
}

func (r *resolverRun) describeQueries() string {
	c := &r.resolver.Counters
	return fmt.Sprintf(", %d questions (%d over TCP, %d timed out, %d refused, %d server failures, %d not answers, %d targets without address)",
		c.Questions.Load(), c.OverTCP.Load(), c.TimedOut.Load(), c.Refused.Load(), c.ServerFailed.Load(), c.Dropped(), c.Unresolved.Load())
}

func clockText(t time.Time) string { return t.UTC().Format("15:04:05") }

// DescribeWorker returns one line on one worker, for the console: its state, which
// report decided it, and what each source reports.
func (m *Merger) DescribeWorker(name string) (string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	reports := m.catalog.Explain(time.Now(), name)
	e, ok := m.merged.Find(name)
	if !ok && len(reports) == 0 {
		return "", errors.New("no such loan worker")
	}
	if !ok {
		return fmt.Sprintf("%s: not listed; %s", name, strings.Join(reports, "; ")), nil
	}
	return fmt.Sprintf("%s at %s: %s, by %s; said: %s", e.ID, e.Addr, e.State, e.Reason, strings.Join(reports, "; ")), nil
}
