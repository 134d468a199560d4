package server

import (
	"testing"

	"github.com/rs/zerolog"

	"yardflow/coordination/frame"
	"yardflow/coordination/segment"
	"yardflow/internal/platform/settings"
)

// newIdleServer returns a server whose engine does not run, so that a test may access the state that belongs to the
// engine.
func newIdleServer(t *testing.T) *Server {
	t.Helper()
	s := &settings.Settings{Node: "core-1", Listen: settings.Listen{Control: "core-1:1"},
		Limits: settings.Limits{DiskMb: 16}}
	server, err := Open(s, frame.TCP{}, segment.Dir(t.TempDir()), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.disk.close)
	return server
}
