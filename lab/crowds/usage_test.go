package crowds

import (
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"
)

// sampleInterval is the pause between two readings of what the processes use.
const sampleInterval = 20 * time.Millisecond

// usage is the most that a process has used so far.
type usage struct {
	memoryMb    int // resident, with the bytes in its sockets' buffers
	descriptors int
}

// monitor reads what the processes use until it is stopped.
type monitor struct {
	stop, stopped chan struct{}
	peaks         map[*process]*usage
}

func startMonitor(processes []*process) *monitor {
	m := &monitor{stop: make(chan struct{}), stopped: make(chan struct{}), peaks: map[*process]*usage{}}
	for _, p := range processes {
		m.peaks[p] = &usage{}
	}
	go m.run()
	return m
}

func (m *monitor) run() {
	defer close(m.stopped)
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		m.sample()
		select {
		case <-ticker.C:
		case <-m.stop:
			m.sample()
			return
		}
	}
}

func (m *monitor) sample() {
	buffered := bufferedBytes()
	for p, peak := range m.peaks {
		if !p.alive() {
			continue
		}
		pid := p.cmd.Process.Pid
		sockets := buffered[endpoint(p.address)] + buffered[endpoint(p.ready)]
		peak.memoryMb = max(peak.memoryMb, peakMemoryKb(pid)>>10, (memoryKb(pid, "VmRSS")+sockets>>10)>>10)
		files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)) // nil once the process has ended
		peak.descriptors = max(peak.descriptors, len(files))
	}
}

// finish stops the monitor and returns the peaks.
func (m *monitor) finish() map[*process]*usage {
	close(m.stop)
	<-m.stopped
	return m.peaks
}

func peakMemoryKb(pid int) int { return memoryKb(pid, "VmHWM") }

// memoryKb reads a figure of a process's memory.
func memoryKb(pid int, field string) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)) // empty once the process has ended
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(line, field+":"); found {
			kilobytes, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kilobytes
		}
	}
	return 0
}

// Columns of /proc/net/tcp.
const (
	localColumn   = 1
	stateColumn   = 3
	queuesColumn  = 4 // of bytes not acknowledged by the peer and bytes not read, in hexadecimal
	listenState   = "0A"
	hexadecimal   = 16
	counterLength = 32
)

// bufferedBytes returns the bytes in sockets' buffers by local address, in the form of /proc/net/tcp. Connections that
// were not accepted yet are among them.
func bufferedBytes() map[string]int {
	text, _ := os.ReadFile("/proc/net/tcp")
	buffered := map[string]int{}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) <= queuesColumn || fields[stateColumn] == listenState {
			continue
		}
		unsent, unread, _ := strings.Cut(fields[queuesColumn], ":")
		for _, figure := range []string{unsent, unread} {
			bytes, _ := strconv.ParseUint(figure, hexadecimal, counterLength) // the heading has no figure and counts as 0
			buffered[fields[localColumn]] += int(bytes)
		}
	}
	return buffered
}

// endpoint returns an address in the form of /proc/net/tcp, "" for none.
func endpoint(address string) string {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	number, _ := strconv.Atoi(port) // the tests write their ports as numbers
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(net.ParseIP(host).To4()), number)
}
