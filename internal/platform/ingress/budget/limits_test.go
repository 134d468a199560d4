package budget

import "testing"

// TestPartsStayWithinTheMachine checks that what callers may hold leaves the rest of the machine to the process itself.
func TestPartsStayWithinTheMachine(t *testing.T) {
	for _, machine := range []Machine{{284, 4100}, {280, 4096}, {96, 600}, {1024, 20000}, {64, 4100}, {284, 400}} {
		for name, limits := range map[string]Limits{"dispatcher": ForDispatcher(machine), "control": ForControl(machine)} {
			connections, bytes := 0, int64(0)
			for _, part := range limits {
				connections += part.Connections
				bytes += part.Bytes + int64(part.Connections)*ConnectionBytes
				if part.LargeBytes > part.Bytes {
					t.Errorf("%s of %+v: large requests may use %d of %d bytes", name, machine, part.LargeBytes, part.Bytes)
				}
			}
			if usable := machine.MaxFds - reservedFds; connections > usable*8/10 {
				t.Errorf("%s of %+v: %d connections of %d descriptors", name, machine, connections, usable)
			}
			if bytes > machine.MemoryMb<<20*9/10 {
				t.Errorf("%s of %+v: %d MB for callers", name, machine, bytes>>20)
			}
		}
	}
}

// TestLargestRequestsFit checks that the largest request of the pages' limits fits into the machines of the pages.
func TestLargestRequestsFit(t *testing.T) {
	const largestBody, largestConfiguration, largestMessage = 262_144, 32 << 20, 64 << 20
	quarterMore := func(bytes int64) int64 { return bytes + bytes/4 }
	clients := ForDispatcher(Machine{MemoryMb: 284, MaxFds: 4100})[Clients]
	if clients.LargeBytes < 64*quarterMore(largestBody) {
		t.Errorf("large bodies may use %d bytes", clients.LargeBytes)
	}
	control := ForControl(Machine{MemoryMb: 280, MaxFds: 4096})
	if control[Operators].Bytes < quarterMore(largestConfiguration) || control[Processes].Bytes < quarterMore(largestMessage) {
		t.Errorf("operators may use %d bytes, processes %d", control[Operators].Bytes, control[Processes].Bytes)
	}
}

func TestOrdinaryHeadClaimsNothing(t *testing.T) {
	if cost := HeadCost(800, 12); cost != 0 {
		t.Errorf("a head of 800 bytes and 12 lines claims %d bytes", cost)
	}
	if cost := HeadCost(16384, 4000); cost < 500_000 {
		t.Errorf("a head of 4,000 lines claims %d bytes only", cost)
	}
}

func TestUnknownMachineIsAssumed(t *testing.T) {
	if ForDispatcher(Machine{}) != ForDispatcher(Machine{MemoryMb: assumedMemoryMb, MaxFds: assumedMaxFds}) {
		t.Error("a machine without limits has other parts than the assumed one")
	}
}
