// Ablation writes a copy of the sources in which one mechanism is switched off, so that the bench can tell what it
// is worth: go run ./lab/ablation -off NAME -into FOLDER; without -off, it lists the mechanisms.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

func main() {
	off := flag.String("off", "", "the mechanism to switch off; none: a copy without a change")
	into := flag.String("into", "", "the folder in which the copy is made; none: the mechanisms are listed")
	flag.Parse()
	if *into == "" {
		for _, m := range mechanisms {
			fmt.Printf("%-20s off: %s\n", m.name, m.what)
		}
		return
	}
	if err := write(*off, *into); err != nil {
		fmt.Fprintln(os.Stderr, "ablation:", err)
		os.Exit(1)
	}
}

// write clones the repository of the working folder and applies the edits of a mechanism.
func write(off, into string) error {
	if output, err := exec.Command("git", "clone", "-q", ".", into).CombinedOutput(); err != nil {
		return fmt.Errorf("git clone: %w: %s", err, output)
	}
	if off == "" {
		return nil
	}
	for i := range mechanisms {
		if mechanisms[i].name == off {
			return mechanisms[i].apply(into)
		}
	}
	return fmt.Errorf("no mechanism %q", off)
}

func (m *mechanism) apply(folder string) error {
	for _, e := range m.edits {
		path := filepath.Join(folder, e.file)
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		changed, err := e.change(string(source))
		if err != nil {
			return fmt.Errorf("%s: %w", m.name, err)
		}
		if err := os.WriteFile(path, []byte(changed), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// change returns the source with the edit, whose old text must stand there once.
func (e *edit) change(source string) (string, error) {
	if count := strings.Count(source, e.old); count != 1 {
		return "", fmt.Errorf("%s has %q %d times, want once", e.file, e.old, count)
	}
	return strings.Replace(source, e.old, e.new, 1), nil
}
