package emulator

import "sync"

// moment is a kind of thing that operators and clients do or see, right behind which a fault may strike.
type moment uint8

const (
	changeSent         moment = iota // an operator sends a change of the configuration
	changeAcknowledged               // an operator is told that it is in force
	jobAccepted                      // a client is told that its job is
)

// moments wakes those who await a moment. Its zero value is ready.
type moments struct {
	mu      sync.Mutex
	awaited map[moment][]chan struct{}
}

// await returns a channel that is closed when the next moment of the kind comes.
func (m *moments) await(kind moment) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.awaited == nil {
		m.awaited = map[moment][]chan struct{}{}
	}
	comes := make(chan struct{})
	m.awaited[kind] = append(m.awaited[kind], comes)
	return comes
}

// come wakes those who await a moment of the kind.
func (m *moments) come(kind moment) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, comes := range m.awaited[kind] {
		close(comes)
	}
	delete(m.awaited, kind)
}
