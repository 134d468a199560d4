package server

import (
	"net/http"
	"syscall"
	"time"

	"github.com/juju/errors"

	"yardflow/coordination/frame"
	"yardflow/coordination/view"
	"yardflow/internal/control/protocol"
	"yardflow/internal/platform/ingress"
)

// Timeouts of connections between control machines.
const (
	dialTimeout = 300 * time.Millisecond
	// redialInterval is the minimum time between two dials of an address that does not answer.
	redialInterval = 150 * time.Millisecond
	// peerTimeout is how long a peer may be silent before connections from it and to it are closed: twelve heartbeats.
	// The failure detector, which relies on the heartbeats themselves, reports the peer well before that.
	peerTimeout = 1200 * time.Millisecond
	// idleReadTimeout limits one read of a connection on which no messages are expected.
	idleReadTimeout = time.Hour
)

// peer is another control machine at an address. Each side dials the other, and sends only on the connection that it has
// dialled.
type peer struct {
	address   string
	conn      *frame.Conn // nil: not connected
	dialling  bool
	dialledAt time.Duration
	heardAt   time.Duration // when the last heartbeat from the peer arrived, on the connection that the peer dialled
}

// peers maintains a connection to every known control machine. It belongs to the engine; its goroutines, one for each
// connection in either direction, end with their connections.
type peers struct {
	server    *Server
	byAddress map[string]*peer
	addresses map[view.MemberID]string
}

func newPeers(s *Server) *peers {
	return &peers{server: s, byAddress: map[string]*peer{}, addresses: map[view.MemberID]string{}}
}

// add adds addresses to dial, and updates the addresses of the members of the view in force.
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

// redial closes connections to silent peers, and dials the peers that are not connected.
func (p *peers) redial() {
	now := p.server.now()
	for _, other := range p.byAddress {
		if other.conn != nil && now-max(other.heardAt, other.dialledAt) > peerTimeout {
			// After a network partition, the messages queued in the old connection would arrive too late to be useful.
			other.conn.Close()
			other.conn = nil
		}
		if other.conn != nil || other.dialling || now-other.dialledAt < redialInterval {
			continue
		}
		p.startDial(other, now)
	}
}

// startDial dials a peer in a goroutine, which then waits until the connection ends.
func (p *peers) startDial(other *peer, now time.Duration) {
	other.dialling, other.dialledAt = true, now
	go p.dial(other)
}

func (p *peers) dial(other *peer) {
	conn, err := frame.Dial(p.server.network, other.address, protocol.PeerPath, dialTimeout)
	p.server.do(func() { p.dialFinished(other, conn, err) })
	if err != nil {
		return
	}
	waitUntilClosed(conn)
	conn.Close()
	p.server.do(func() { p.connectionEnded(other, conn) })
}

// waitUntilClosed returns once a read of a connection fails: the connection has ended, or idleReadTimeout has passed. The
// peer sends nothing on this connection.
func waitUntilClosed(conn *frame.Conn) {
	for {
		if _, err := conn.Receive(idleReadTimeout); err != nil {
			return
		}
	}
}

// dialFinished handles the result of a dial.
func (p *peers) dialFinished(other *peer, conn *frame.Conn, err error) {
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

// connectionEnded redials immediately: if the peer's process has ended, the refused connection shows that sooner than the
// missing heartbeats would.
func (p *peers) connectionEnded(other *peer, conn *frame.Conn) {
	if other.conn == conn {
		other.conn = nil
	}
	if other.conn == nil && !other.dialling {
		p.startDial(other, p.server.now())
	}
}

// connectionRefused notifies the failure detector that no process is listening at the address of a peer.
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
		return // Upgrade has answered the request
	}
	process := ingress.Process(r)
	conn.SetQuota(process)
	go p.listen(conn, process)
}

// listen passes a peer's messages to the engine until the connection ends or is silent for peerTimeout. The first
// heartbeat identifies the sender; messages before it are dropped.
func (p *peers) listen(conn *frame.Conn, process *ingress.ProcessConn) {
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
		process.Identified()
		sender, arrivedAt := from, p.server.now()
		p.server.do(func() {
			if message.Heartbeat != nil {
				p.recordHeartbeat(sender, arrivedAt)
			}
			p.server.receivePeer(arrivedAt, sender, message)
		})
	}
}

// recordHeartbeat records a heartbeat and the address of its sender.
func (p *peers) recordHeartbeat(sender view.Member, arrivedAt time.Duration) {
	p.addresses[sender.ID] = sender.Address
	p.add([]string{sender.Address})
	if other := p.byAddress[sender.Address]; other != nil {
		other.heardAt = arrivedAt
	}
}

// send sends a message to a member. If there is no connection to the member, the message is lost, and the caller has to
// send it again.
func (p *peers) send(to view.MemberID, message *protocol.PeerMessage) {
	other := p.byAddress[p.addresses[to]]
	if other == nil || other.conn == nil {
		return
	}
	if !other.conn.Send(protocol.Encode(message)) {
		other.conn = nil
	}
}

// broadcast sends an encoded message to all connected peers.
func (p *peers) broadcast(data []byte) {
	for _, other := range p.byAddress {
		if other.conn != nil && !other.conn.Send(data) {
			other.conn = nil
		}
	}
}
