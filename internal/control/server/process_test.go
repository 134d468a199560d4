package server_test

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"yardflow/internal/control/server"
	"yardflow/internal/platform/settings"
	"yardflow/internal/testing/emulator"
)

// get sends a GET request, and returns the status code of the response and, if it is 200, the decoded Status.
func get(t *testing.T, handler http.Handler, path string) (int, server.Status) {
	t.Helper()
	answer := httptest.NewRecorder()
	handler.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, path, nil))
	status := server.Status{}
	if answer.Code == http.StatusOK {
		if err := json.Unmarshal(answer.Body.Bytes(), &status); err != nil {
			t.Errorf("%s: %v: %q", path, err, answer.Body)
		}
	}
	return answer.Code, status
}

// Regression test: a control process whose disk was full at its start ended with code 1.
func TestProcessWaitsWhileTheDiskIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := emulator.NewDisk(time.Millisecond, rand.New(rand.NewPCG(1, 1)))
		disk.Fill(true)
		s := &settings.Settings{Node: "core-1", Listen: settings.Listen{Control: "core-1:1"},
			Limits: settings.Limits{DiskMb: 16}}
		process := server.NewProcess(s, emulator.NewNetwork().Machine("core-1"), disk, zerolog.Nop())
		stop, ended := make(chan struct{}), make(chan error, 1)
		go func() { ended <- process.Run(stop) }()
		time.Sleep(5 * time.Second)
		if code, status := get(t, process, "/-/status"); code != http.StatusOK ||
			!strings.Contains(status.StartupBlockedBy, "no space") {
			t.Errorf("with a full disk the status is answered %d, startup blocked by %q; want 200 and the disk's error",
				code, status.StartupBlockedBy)
		}
		if code, _ := get(t, process, "/-/config"); code != http.StatusServiceUnavailable {
			t.Errorf("a read of the configuration is answered %d, want 503", code)
		}
		disk.Fill(false)
		time.Sleep(time.Second)
		if code, status := get(t, process, "/-/status"); code != http.StatusOK || status.StartupBlockedBy != "" {
			t.Errorf("with space on the disk the status is answered %d, startup blocked by %q; want 200 and nothing",
				code, status.StartupBlockedBy)
		}
		close(stop)
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

// TestStopWhileTheDiskIsFull checks that a process that is waiting for its disk can be stopped.
func TestStopWhileTheDiskIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := emulator.NewDisk(time.Millisecond, rand.New(rand.NewPCG(1, 1)))
		disk.Fill(true)
		process := server.NewProcess(&settings.Settings{Node: "core-1"}, emulator.NewNetwork().Machine("core-1"),
			disk, zerolog.Nop())
		stop, ended := make(chan struct{}), make(chan error, 1)
		go func() { ended <- process.Run(stop) }()
		time.Sleep(time.Second)
		process.LeaveChain()
		close(stop)
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}
