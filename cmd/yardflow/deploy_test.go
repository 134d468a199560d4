package main

import (
	"os"
	"os/exec"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// What the deploy file names as the real dispatcher is all that it is built of: quota and verdict
// were left out once.
func TestDeployFileNamesAllPackagesBuiltIn(t *testing.T) {
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	var deploy struct{ Node []string }
	if err := toml.Unmarshal(text, &deploy); err != nil {
		t.Fatal(err)
	}
	out, err := exec.Command("go", "list", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	var built []string
	for _, p := range strings.Fields(string(out)) {
		if p, ok := strings.CutPrefix(p, "yardflow/"); ok {
			built = append(built, p)
		}
	}
	slices.Sort(built)
	slices.Sort(deploy.Node)
	if !slices.Equal(built, deploy.Node) {
		t.Errorf("node names %q,\nand it is built of %q", deploy.Node, built)
	}
}
