package server_test

import (
	"archive/tar"
	"compress/gzip"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/sebdah/goldie/v2"

	"yardflow/coordination/segment"
	"yardflow/internal/control/server"
	"yardflow/internal/platform/settings"
	"yardflow/internal/testing/emulator"
)

// unpackDisk unpacks the disk of a control machine, written at commit b99a1ea in a soak test, and returns its folder. The
// disk holds metadata, a snapshot and the log since then, with 1,237 jobs, 10 sessions, 40 workers and 178 versions of the
// configuration.
func unpackDisk(t *testing.T) string {
	t.Helper()
	packed, err := os.Open("testdata/disk.tar.gz")
	if err != nil {
		t.Fatal(err)
	}
	defer packed.Close()
	unzipped, err := gzip.NewReader(packed)
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	archive := tar.NewReader(unzipped)
	for {
		header, err := archive.Next()
		if errors.Is(err, io.EOF) {
			return folder
		}
		if err != nil {
			t.Fatal(err)
		}
		if header.Typeflag != tar.TypeReg {
			continue
		}
		content, err := io.ReadAll(archive)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(folder, filepath.Base(header.Name)), content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// TestDiskOfAnEarlierVersionIsRead compares the status and the metrics of a process that starts on a disk written at commit
// b99a1ea with the golden files, which hold the answers of that commit itself. A difference means that the disk is
// misread, or that a field or metric name that operators' scripts read has changed.
func TestDiskOfAnEarlierVersionIsRead(t *testing.T) {
	folder := unpackDisk(t)
	synctest.Test(t, func(t *testing.T) {
		s := &settings.Settings{Node: "core-1", Zone: "z0", DataDir: folder,
			Listen: settings.Listen{Control: "127.29.1.2:8146"}, Limits: settings.Limits{DiskMb: 16},
			Tolerate: settings.Tolerate{Machines: 1}, Bounds: settings.Bounds{StatusRetentionS: 120}}
		process := server.NewProcess(s, emulator.NewNetwork().Machine("127.29.1.2"), segment.Dir(folder), zerolog.Nop())
		stop, ended := make(chan struct{}), make(chan error, 1)
		go func() { ended <- process.Run(stop) }()
		time.Sleep(time.Second)
		for path, golden := range map[string]string{"/-/status": "status_of_disk", "/-/metrics": "metrics_of_disk"} {
			answer := httptest.NewRecorder()
			process.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, path, nil))
			goldie.New(t).Assert(t, golden, answer.Body.Bytes())
		}
		close(stop)
		if err := <-ended; err != nil {
			t.Error(err)
		}
		time.Sleep(time.Second) // until its connection attempts have ended
	})
}
