package prove

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of processor time in /proc.
const clockTick = 10 * time.Millisecond

// ProcessorTime returns how much processor time a process has used so far.
func ProcessorTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The name before the last bracket may hold anything.
	f := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	user, err1 := strconv.Atoi(f[11])
	system, err2 := strconv.Atoi(f[12])
	return time.Duration(user+system) * clockTick, errors.Join(err1, err2)
}

// ResidentMemory returns a process's resident memory in MB.
func ResidentMemory(pid int) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	line, _, _ := strings.Cut(rest, "\n")
	kilobytes, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(line), "kB")))
	return float64(kilobytes) / 1024, err
}
