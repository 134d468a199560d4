package server

import (
	"net/http"
	"syscall"
	"time"

	"github.com/juju/errors"

	"yardflow/coordination/frame"
	"yardflow/coordination/view"
	"yardflow/internal/control/protocol"
)

// Spans of connections among control machines.
const (
	dialTimeout    = 300 * time.Millisecond
	redialInterval = 150 * time.Millisecond
	peerTimeout    = 1200 * time.Millisecond // heartbeats come every 100 ms
)

// peer is another control machine at an address. Each side dials the other, and sends
// on the connection that it has dialled.
type peer struct {
	address  string
	conn     *frame.Conn
	dialing  bool
	dialedAt time.Duration
	heardAt  time.Duration // when it last said something, on its own connection
}

// peers keeps a connection to every control machine that is known. It belongs to the engine.
type peers struct {
	server    *Server
	byAddress map[string]*peer
	addresses map[view.MemberID]string
}

func newPeers(s *Server) *peers {
	return &peers{server: s, byAddress: map[string]*peer{}, addresses: map[view.MemberID]string{}}
}

// add enters addresses that are to be dialled from now on.
func (p *peers) add(addresses []string) {
	for _, address := range addresses {
		if address != p.server.settings.Listen.Control && p.byAddress[address] == nil {
			p.byAddress[address] = &peer{address: address, dialedAt: -redialInterval}
		}
	}
	for _, member := range p.server.register.View().Electors {
		p.addresses[member.ID] = member.Address
	}
	for _, member := range p.server.register.View().Chain {
		p.addresses[member.ID] = member.Address
	}
}

func (p *peers) redial() {
	now := p.server.now()
	for _, other := range p.byAddress {
		if other.conn != nil && now-max(other.heardAt, other.dialedAt) > peerTimeout {
			// What waits in a connection that a cut has held up would come too late to be of use.
			other.conn.Close()
			other.conn = nil
		}
		if other.conn != nil || other.dialing || now-other.dialedAt < redialInterval {
			continue
		}
		other.dialing, other.dialedAt = true, now
		go p.dial(other)
	}
}

func (p *peers) dial(other *peer) {
	conn, err := frame.Dial(p.server.network, other.address, protocol.PeerPath, dialTimeout)
	p.server.do(func() {
		other.dialing = false
		if err != nil {
			if errors.Is(err, syscall.ECONNREFUSED) {
				p.connectionRefused(other)
			}
			return
		}
		other.conn = conn
		other.conn.Send(protocol.Encode(p.server.heartbeatMessage()))
		for id, address := range p.addresses {
			if address == other.address {
				p.server.replica.Reconnected(id)
			}
		}
	})
	if err != nil {
		return
	}
	// Nothing comes back on this connection; a read tells when it is over.
	for {
		if _, err := conn.Receive(time.Hour); err != nil {
			break
		}
	}
	conn.Close()
	p.server.do(func() {
		if other.conn == conn {
			other.conn = nil
		}
		if other.conn == nil && !other.dialing {
			other.dialing, other.dialedAt = true, p.server.now()
			go p.dial(other) // at once: it shows whether the process is gone
		}
	})
}

// connectionRefused tells the detector that nothing listens at an address.
func (p *peers) connectionRefused(other *peer) {
	for id, address := range p.addresses {
		if address == other.address {
			p.server.detector.ConnectionRefused(p.server.now(), id)
		}
	}
}

// accept serves another control machine's connection.
func (p *peers) accept(w http.ResponseWriter, r *http.Request) {
	conn, err := frame.Upgrade(w, r)
	if err != nil {
		return
	}
	go p.listen(conn)
}

func (p *peers) listen(conn *frame.Conn) {
	defer conn.Close()
	var from view.Member
	for {
		data, err := conn.Receive(peerTimeout)
		if err != nil {
			return
		}
		message := &protocol.PeerMessage{}
		if !protocol.Decode(data, message) {
			return
		}
		if message.Heartbeat != nil {
			from = message.Heartbeat.From
		}
		if from.ID == 0 {
			continue // whoever has not said its name yet
		}
		sender, at := from, p.server.now()
		p.server.do(func() {
			if message.Heartbeat != nil {
				p.addresses[sender.ID] = sender.Address
				p.add([]string{sender.Address})
				if other := p.byAddress[sender.Address]; other != nil {
					other.heardAt = at
				}
			}
			p.server.receivePeer(at, sender, message)
		})
	}
}

// send sends a message to a member, as far as there is a connection to it.
func (p *peers) send(to view.MemberID, message *protocol.PeerMessage) {
	other := p.byAddress[p.addresses[to]]
	if other == nil || other.conn == nil {
		return
	}
	if !other.conn.Send(protocol.Encode(message)) {
		other.conn = nil
	}
}

func (p *peers) broadcast(data []byte) {
	for _, other := range p.byAddress {
		if other.conn != nil && !other.conn.Send(data) {
			other.conn = nil
		}
	}
}
