package budget

// Machine is what the settings allow a process; 0 stands for a limit that is not known.
type Machine struct {
	MemoryMb int64 // settings key Limits.MemoryMb
	MaxFds   int   // settings key Limits.MaxFds
}

// Assumed limits of a machine whose settings state none.
const (
	assumedMemoryMb = 256
	assumedMaxFds   = 1024
)

// Costs and limits that do not depend on the machine.
const (
	// reservedFds of MaxFds stay kept for files outside of the disk folder.
	reservedFds = 200
	// ConnectionBytes is what a connection costs before it claims anything: two buffers of 4 KiB, the goroutine's stack, an
	// ordinary head, and the socket's buffers in the kernel.
	ConnectionBytes = 96 << 10
	// smallBytes is what an ordinary request claims at most.
	smallBytes = 16 << 10
	// maxReadinessConnections serve the platform's checkers, each of which asks once a second and may keep its connection.
	maxReadinessConnections = 64
	readinessBytes          = 256 << 10
	minConnections          = 8
	// limitedUnreadBytes may arrive on a connection before it is accepted where the socket's buffers are limited, and
	// unreadBytes where they are not.
	limitedUnreadBytes = 32 << 10
	unreadBytes        = 64 << 10
)

// Shares of the machine, in hundredths. What is left of the memory is for the state, for garbage that is not collected yet
// and for the program itself.
const (
	clientConnectionShare    = 25 // of the memory, for clients' connections
	clientBytesShare         = 15 // of the memory, for clients' requests
	readinessConnectionShare = 5
	operatorConnectionShare  = 10
	operatorBytesShare       = 20 // one configuration of 32 MiB at 280 MB
	processConnectionShare   = 20
	processBytesShare        = 35 // one message of 64 MiB at 280 MB
	backlogShare             = 5  // for what arrives on connections before they are accepted
	largeShare               = 75 // of a class's bytes, for all large requests together

	clientFdShare    = 50 // of the descriptors
	readinessFdShare = 10
	operatorFdShare  = 25
	processFdShare   = 50
	hundredths       = 100
)

// ForDispatcher returns the limits of a dispatcher's callers.
func ForDispatcher(machine Machine) Limits {
	m := machine.orAssumed()
	return Limits{
		Clients: {
			Connections: m.connections(clientFdShare, clientConnectionShare),
			Backlog:     m.backlog(limitedUnreadBytes),
			Bytes:       m.bytes(clientBytesShare),
			SmallBytes:  smallBytes,
			LargeBytes:  m.bytes(clientBytesShare) * largeShare / hundredths,
		},
		Readiness: {
			Connections: min(m.connections(readinessFdShare, readinessConnectionShare), maxReadinessConnections),
			Backlog:     maxReadinessConnections,
			Bytes:       readinessBytes,
			SmallBytes:  smallBytes,
			LargeBytes:  readinessBytes * largeShare / hundredths,
		},
	}
}

// ForControl returns the limits of a control process's callers.
func ForControl(machine Machine) Limits {
	m := machine.orAssumed()
	return Limits{
		Operators: {
			Connections: m.connections(operatorFdShare, operatorConnectionShare),
			Backlog:     m.backlog(unreadBytes),
			Bytes:       m.bytes(operatorBytesShare),
			SmallBytes:  smallBytes,
			LargeBytes:  m.bytes(operatorBytesShare) * largeShare / hundredths,
		},
		Processes: {
			Connections: m.connections(processFdShare, processConnectionShare),
			Bytes:       m.bytes(processBytesShare),
			SmallBytes:  smallBytes,
			LargeBytes:  m.bytes(processBytesShare) * largeShare / hundredths,
		},
	}
}

// orAssumed fills in the limits that are not known.
func (m Machine) orAssumed() Machine {
	if m.MemoryMb <= 0 {
		m.MemoryMb = assumedMemoryMb
	}
	if m.MaxFds <= 0 {
		m.MaxFds = assumedMaxFds
	}
	return m
}

// bytes returns a share of the memory.
func (m Machine) bytes(share int64) int64 { return m.MemoryMb << 20 * share / hundredths }

// backlog returns how many connections may wait to be accepted.
func (m Machine) backlog(unreadBytes int64) int {
	return max(int(m.bytes(backlogShare)/unreadBytes), minConnections)
}

// connections returns how many connections shares of the descriptors and of the memory allow.
func (m Machine) connections(fdShare int, memoryShare int64) int {
	byFds := (m.MaxFds - reservedFds) * fdShare / hundredths
	byMemory := int(m.bytes(memoryShare) / ConnectionBytes)
	return max(min(byFds, byMemory), minConnections)
}
