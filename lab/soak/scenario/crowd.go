package scenario

import (
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"yardflow/internal/control/protocol"
	"yardflow/internal/testing/emulator"
)

// Bounds of the crowd, connections of clients that don't behave.
const (
	crowdStay     = 4 * time.Second // of one connection at most, beyond what it sends
	crowdPause    = 200 * time.Millisecond
	crowdBlock    = 16 << 10
	crowdBlocks   = 32 // of crowdBlock that one connection sends at most
	crowdBody     = 262_144
	crowdAnnounce = 60 << 20 // of a message between processes
	tricklePause  = 20 * time.Millisecond
	trickleBytes  = 50
)

// misbehaviour is what a connection of the crowd does: it sends a start, then a text again and again, and stays.
type misbehaviour struct {
	name    string
	target  crowdTarget
	start   string
	text    string
	blocks  int  // of text
	trickle bool // byte by byte in place of blocks
}

// crowdTarget is the address at which a connection of the crowd misbehaves.
type crowdTarget uint8

const (
	clientAddress crowdTarget = iota
	readinessAddress
	controlAddress
)

var (
	crowdHead   = "GET " + emulator.RoutePrefix + " HTTP/1.1\r\nHost: " + emulator.RouteHost + "\r\n"
	crowdPost   = "POST " + emulator.RoutePrefix + "00000000000000cc HTTP/1.1\r\nHost: " + emulator.RouteHost + "\r\n"
	crowdConfig = "PUT /-/config HTTP/1.1\r\nHost: x\r\nIf-Match: 1\r\n"
	crowdFrame  = "POST %s HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: yardflow-frames\r\n\r\n" +
		string(binary.BigEndian.AppendUint32(nil, crowdAnnounce))
)

// misbehaviours are all kinds. None of them sends a request that is whole and changes anything.
var misbehaviours = []misbehaviour{
	{"silent at clients' address", clientAddress, "", "", 0, false},
	{"heads without end", clientAddress, crowdHead + "X: ", "x", crowdBlocks, false},
	{"heads that trickle", clientAddress, crowdHead + "X: ", "x", trickleBytes, true},
	{"empty lines", clientAddress, "", "\r\n", crowdBlocks, false},
	{"bodies that stop short", clientAddress, crowdPost + fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBody), " ", crowdBody/crowdBlock - 1, false},
	{"bodies that trickle", clientAddress, crowdPost + fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBody), " ", trickleBytes, true},
	{"small chunks", clientAddress, crowdPost + "Transfer-Encoding: chunked\r\n\r\n", "1\r\n \r\n", crowdBlocks, false},
	{"answers not read", clientAddress, "", crowdHead + "\r\n", 1, false},
	{"silent at readiness address", readinessAddress, "", "", 0, false},
	{"readiness heads without end", readinessAddress, "GET /-/readiness HTTP/1.1\r\nX: ", "x", crowdBlocks, false},
	{"silent at control address", controlAddress, "", "", 0, false},
	{"control heads without end", controlAddress, "GET /-/status HTTP/1.1\r\nX: ", "x", crowdBlocks, false},
	{"configurations that stop short", controlAddress, crowdConfig + "Content-Length: 8388608\r\n\r\n", " ", crowdBlocks, false},
	{"messages of dispatchers that stop short", controlAddress, fmt.Sprintf(crowdFrame, protocol.DispatcherPath), " ", crowdBlocks, false},
	{"messages of peers that stop short", controlAddress, fmt.Sprintf(crowdFrame, protocol.PeerPath), " ", crowdBlocks, false},
}

// crowd opens one connection after the other that misbehaves, until the soak ends.
func (s *soak) crowd(random *rand.Rand) {
	for !s.ending() {
		m := misbehaviours[random.IntN(len(misbehaviours))]
		conn, err := net.DialTimeout("tcp", s.crowdAddress(m.target, random), connectWithin)
		if err != nil {
			time.Sleep(crowdPause) // the process does not run, or is frozen
			continue
		}
		s.count("connections of the crowd")
		stay := between(random, 0, crowdStay)
		conn.SetDeadline(time.Now().Add(crowdStay + stay))
		m.send(conn)
		s.stay(stay)
		conn.Close()
	}
}

// crowdAddress returns an address of a process, whether it runs or not.
func (s *soak) crowdAddress(target crowdTarget, random *rand.Rand) string {
	if target == controlAddress {
		return s.block.address(s.cores[random.IntN(len(s.cores))].name)
	}
	front := s.fronts[random.IntN(len(s.fronts))].name
	if target == readinessAddress {
		return s.block.readyAddress(front)
	}
	return s.block.address(front)
}

// send sends what the kind sends, until the process closes the connection.
func (m *misbehaviour) send(conn net.Conn) {
	if _, err := io.WriteString(conn, m.start); err != nil {
		return
	}
	text := m.text
	if !m.trickle {
		text = strings.Repeat(m.text, crowdBlock/max(1, len(m.text)))
	}
	for range m.blocks {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		if m.trickle {
			time.Sleep(tricklePause)
		}
	}
}

// stay waits for a time or for the soak's end.
func (s *soak) stay(span time.Duration) {
	select {
	case <-time.After(span):
	case <-s.stopping:
	}
}
