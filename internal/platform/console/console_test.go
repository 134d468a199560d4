package console

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

type fakeOperations struct{}

func (fakeOperations) Ready() error { return nil }
func (fakeOperations) Exclude(id string) error {
	if id != "s-1" {
		return errors.New("no such\nloan worker")
	}
	return nil
}
func (fakeOperations) Include(id string) error               { return fakeOperations{}.Exclude(id) }
func (fakeOperations) DescribeSources() (string, error)      { return "roster: 2 serving\n", nil }
func (fakeOperations) DescribeReservations() (string, error) { return "nothing is held", nil }
func (fakeOperations) DescribePolicy() (string, error)       { return "version 0", nil }
func (fakeOperations) DescribeWorker(name string) (string, error) {
	return name + ": serving", fakeOperations{}.Exclude(name)
}

func startConsole(t *testing.T) func() net.Conn {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := New(l, fakeOperations{})
	go c.Serve()
	t.Cleanup(c.Close)
	return func() net.Conn {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
			t.Fatal(err)
		}
		return conn
	}
}

// Each file of calls is played: a line begins with the bytes sent, | standing
// for a pause between pieces, and ends with the whole answer.
func TestCalls(t *testing.T) {
	dial := startConsole(t)
	text, err := os.ReadFile("testdata/calls.txt")
	if err != nil {
		t.Fatal(err)
	}
	unquote := strings.NewReplacer(`\r`, "\r", `\n`, "\n", "{600}", strings.Repeat("x", 600))
	for line := range strings.Lines(string(text)) {
		sent, want, ok := strings.Cut(strings.TrimSuffix(line, "\n"), " => ")
		if !ok || strings.HasPrefix(line, "#") {
			continue
		}
		conn := dial()
		for piece := range strings.SplitSeq(unquote.Replace(sent), "|") {
			io.WriteString(conn, piece)
			time.Sleep(time.Millisecond)
		}
		if !strings.Contains(sent, `\n`) {
			if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
				t.Error(err)
			}
		}
		got, err := io.ReadAll(conn)
		if err != nil {
			t.Errorf("%s: %v", sent, err)
		}
		if diff := cmp.Diff(unquote.Replace(want), string(got)); diff != "" {
			t.Errorf("%s: %s", sent, diff)
		}
	}
}

// Callers that connect and say nothing, or half a line, keep nobody out.
func TestIdleCallersKeepNobodyOut(t *testing.T) {
	dial := startConsole(t)
	for range 3 * maxCallers {
		io.WriteString(dial(), "rea")
	}
	conn := dial()
	io.WriteString(conn, "readyz\n")
	if got, err := io.ReadAll(conn); err != nil || string(got) != "SUCCESS ready\n" {
		t.Errorf("got %q, %v", got, err)
	}
}
