package main

import (
	"bytes"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// Each kind of line and each cause is in the log.
func TestCountsOfOneLog(t *testing.T) {
	var out bytes.Buffer
	if err := run(&out, "testdata", 1, 12, 0.2); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "counts", out.Bytes())
}

func TestAFolderWithoutLogsIsNamed(t *testing.T) {
	if err := run(&bytes.Buffer{}, "nowhere", 1, 12, 0.2); err == nil || err.Error() != "no logs in nowhere" {
		t.Error(err)
	}
}
