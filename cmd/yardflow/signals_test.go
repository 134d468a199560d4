package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"

	"yardflow/internal/testing/standin/listservice"
	"yardflow/internal/testing/standin/script"
)

// asProgram is set for the test's own binary when it is to run as the program.
const asProgram = "YARDFLOW_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		os.Args = os.Args[:1]
		main()
		return
	}
	os.Exit(m.Run())
}

// startProgram starts the program as a process of its own, with one worker in discovery's list. It
// gives the process and its log.
func startProgram(t *testing.T, worker string) (*exec.Cmd, *programLog) {
	list := listservice.Start()
	t.Cleanup(list.Close)
	list.Set(listservice.Entry{ID: "s-1", Addr: worker, Zone: "praha-holesovice", Kind: "dual-fast", Lifecycle: "SERVING", Weight: 1})
	text, err := os.ReadFile("testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	text, err = json.Marshal(map[string]any{"name": "n0", "seed": "01", "settings": json.RawMessage(text), "listen": "127.0.0.1:0",
		"discovery": list.Addr, "known": map[string]any{"generation": 0, "instances": []any{}}})
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(self)
	cmd.Env = append(os.Environ(), asProgram+"=1", "NODE_CONFIG="+file, "TMPDIR="+t.TempDir())
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() }) // it fails where the process has ended
	return cmd, readProgramLog(stderr)
}

// send sends the process a signal.
func send(t *testing.T, cmd *exec.Cmd, signal os.Signal) {
	t.Helper()
	if err := cmd.Process.Signal(signal); err != nil {
		t.Fatal(err)
	}
}

// wantExitInOrder waits for the process's end, and fails where it exits in error or not at all.
func wantExitInOrder(t *testing.T, cmd *exec.Cmd) {
	t.Helper()
	done := make(chan error, 1)
	go func() { done <- cmd.Wait() }()
	wantStopInOrder(t, done)
}

// A second and a third SIGTERM, and a SIGHUP between them, change nothing about a stop: what was
// taken is answered.
func TestASecondSIGTERMCutsNothingShort(t *testing.T) {
	worker := script.NewWorker(t)
	cmd, log := startProgram(t, worker.Addr)
	at := regexp.MustCompile(`serves on (\S+)`).FindStringSubmatch(log.waitFor(t, "serves on"))
	log.waitFor(t, "first told")
	addr, err := net.ResolveTCPAddr("tcp", at[1])
	if err != nil {
		t.Fatal(err)
	}
	c := script.Dial(t, addr)
	request := strings.Replace(fmt.Sprintf(job, "r1"), "X-Timeout: 5\n", "X-Timeout: 5\nContent-Length: 1\n", 1)
	c.Send(strings.ReplaceAll(request, "\n", "\r\n"))
	call := worker.Next()
	send(t, cmd, syscall.SIGTERM)
	log.waitFor(t, "stopping")
	send(t, cmd, syscall.SIGTERM)
	send(t, cmd, syscall.SIGHUP)
	log.waitFor(t, "reload")
	send(t, cmd, syscall.SIGTERM)
	call.Done("ok")
	if status, body := c.Answer(); status != 200 || body != "ok" {
		t.Errorf("status %d, body %q", status, body)
	}
	c.Close()
	log.waitForEnd(t)
	wantExitInOrder(t, cmd)
}

// SIGTERM in the moment in which the program begins to serve ends it in order.
func TestSIGTERMAtTheStartEndsInOrder(t *testing.T) {
	cmd, log := startProgram(t, script.NewWorker(t).Addr)
	log.waitFor(t, "serves on")
	send(t, cmd, syscall.SIGTERM)
	log.waitForEnd(t)
	wantExitInOrder(t, cmd)
}
