package main

import (
	"context"
	"io"
	"os"
	"testing"

	"github.com/juju/errors"

	"yardflow/internal/platform/settings"
)

// Operators' scripts read this line, with the name that the program had before.
func TestOutputOfVersionDoesNotChange(t *testing.T) {
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Close()
	stdout := os.Stdout
	os.Stdout = writer
	err = command().ParseAndRun(context.Background(), []string{"version"})
	os.Stdout = stdout
	if err != nil {
		t.Error(err)
	}
	if err := writer.Close(); err != nil {
		t.Error(err)
	}
	if output, err := io.ReadAll(reader); err != nil || string(output) != "yard 0.1.0\n" {
		t.Errorf("%q, %v", output, err)
	}
}

// Operators' scripts tell a wrong settings file by the exit code.
func TestExitCodes(t *testing.T) {
	if code := exitCode(errors.Trace(&settings.InvalidError{Key: "Node"})); code != 2 {
		t.Errorf("wrong settings end with code %d", code)
	}
	if code := exitCode(errors.Trace(errUsage)); code != 1 {
		t.Errorf("another error ends with code %d", code)
	}
}
