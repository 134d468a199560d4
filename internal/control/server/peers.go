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

// Time-outs of connections between control machines.
const (
	dialTimeout = 300 * time.Millisecond
	// redialInterval is the least time between two dials of an address that does not answer.
	redialInterval = 150 * time.Millisecond
	// peerTimeout is how long a peer may be silent before connections from it and to it are closed: twelve heartbeats,
	// well behind the failure detector, which goes by the heartbeats themselves.
	peerTimeout = 1200 * time.Millisecond
	// idleReadTimeout bounds one read of a connection on which nothing is expected.
	idleReadTimeout = time.Hour
)

// peer is another control machine at an address. Each side dials the other, and sends only on the connection that it has
// dialled.
type peer struct {
	address   string
	conn      *frame.Conn // nil: there is none
	dialling  bool
	dialledAt time.Duration
	heardAt   time.Duration // when it last sent something, on its own connection
}

// peers keeps a connection to every control machine that is known. It belongs to the engine; its goroutines, one for each
// connection in either direction, end with their connection.
type peers struct {
	server    *Server
	byAddress map[string]*peer
	addresses map[view.MemberID]string
}

func newPeers(s *Server) *peers {
	return &peers{server: s, byAddress: map[string]*peer{}, addresses: map[view.MemberID]string{}}
}

// add adds addresses that are to be dialled from now on.
func (p *peers) add(addresses []string) {
	for _, address := range addresses {
		if address != p.server.settings.Listen.Control && p.byAddress[address] == nil {
			p.byAddress[address] = &peer{address: address, dialledAt: -redialInterval}
		}
	}
	for _, member := range p.server.membership.view().Electors {
		p.addresses[member.ID] = member.Address
	}
	for _, member := range p.server.membership.view().Chain {
		p.addresses[member.ID] = member.Address
	}
}

// redial closes connections to silent peers, and dials peers to which there is none.
func (p *peers) redial() {
	now := p.server.now()
	for _, other := range p.byAddress {
		if other.conn != nil && now-max(other.heardAt, other.dialledAt) > peerTimeout {
			// After a network partition, what is queued in the old connection would come too late to be of use.
			other.conn.Close()
			other.conn = nil
		}
		if other.conn != nil || other.dialling || now-other.dialledAt < redialInterval {
			continue
		}
		p.startDial(other, now)
	}
}

// startDial dials a peer in a goroutine, which then watches the connection until that ends.
func (p *peers) startDial(other *peer, now time.Duration) {
	other.dialling, other.dialledAt = true, now
	go p.dial(other)
}

func (p *peers) dial(other *peer) {
	conn, err := frame.Dial(p.server.network, other.address, protocol.PeerPath, dialTimeout)
	p.server.do(func() { p.dialled(other, conn, err) })
	if err != nil {
		return
	}
	waitForEnd(conn)
	conn.Close()
	p.server.do(func() { p.connectionEnded(other, conn) })
}

// waitForEnd returns once a connection has ended. The peer sends nothing on it; a read fails when it ends.
func waitForEnd(conn *frame.Conn) {
	for {
		if _, err := conn.Receive(idleReadTimeout); err != nil {
			return
		}
	}
}

// dialled takes in the result of a dial.
func (p *peers) dialled(other *peer, conn *frame.Conn, err error) {
	other.dialling = false
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
}

// connectionEnded dials again at once: a refused connection shows that the peer's process has ended, sooner than its
// silence would.
func (p *peers) connectionEnded(other *peer, conn *frame.Conn) {
	if other.conn == conn {
		other.conn = nil
	}
	if other.conn == nil && !other.dialling {
		p.startDial(other, p.server.now())
	}
}

// connectionRefused notifies the detector that no process listens at an address.
func (p *peers) connectionRefused(other *peer) {
	for id, address := range p.addresses {
		if address == other.address {
			p.server.membership.detector.ConnectionRefused(p.server.now(), id)
		}
	}
}

// accept serves another control machine's connection.
func (p *peers) accept(w http.ResponseWriter, r *http.Request) {
	conn, err := frame.Upgrade(w, r)
	if err != nil {
		return // the caller was answered by Upgrade
	}
	go p.listen(conn)
}

// listen hands a peer's messages to the engine until its connection ends or is silent for peerTimeout. Who sends them is
// known from the first heartbeat on; what comes before that is dropped.
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
			continue
		}
		sender, arrivedAt := from, p.server.now()
		p.server.do(func() {
			if message.Heartbeat != nil {
				p.heard(sender, arrivedAt)
			}
			p.server.receivePeer(arrivedAt, sender, message)
		})
	}
}

// heard notes a heartbeat, and where its sender can be dialled.
func (p *peers) heard(sender view.Member, at time.Duration) {
	p.addresses[sender.ID] = sender.Address
	p.add([]string{sender.Address})
	if other := p.byAddress[sender.Address]; other != nil {
		other.heardAt = at
	}
}

// send sends a message to a member. Where there is no connection to it, the message is lost; whoever sends it has to send
// it again.
func (p *peers) send(to view.MemberID, message *protocol.PeerMessage) {
	other := p.byAddress[p.addresses[to]]
	if other == nil || other.conn == nil {
		return
	}
	if !other.conn.Send(protocol.Encode(message)) {
		other.conn = nil
	}
}

// broadcast sends an encoded message to all peers that are connected.
func (p *peers) broadcast(data []byte) {
	for _, other := range p.byAddress {
		if other.conn != nil && !other.conn.Send(data) {
			other.conn = nil
		}
	}
}
