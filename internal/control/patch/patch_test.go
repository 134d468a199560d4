package patch

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
)

// routes returns a configuration of so many routes, one of which differs between versions.
func routes(version, count, changed int) []byte {
	text := fmt.Appendf(nil, `{"Version":%d,"Routes":[`, version)
	for i := range count {
		timeout := 3000
		if i == changed {
			timeout = 3000 + version
		}
		text = fmt.Appendf(text, `{"Name":"r-%d","Host":"h.example","PathPrefix":"/p%d/","TimeoutMs":%d},`, i, i, timeout)
	}
	return append(text, `],"Services":[{"Name":"s"}]}`...)
}

func TestPatchOfOneChangedRouteIsSmall(t *testing.T) {
	base, target := routes(5, 1400, 3), routes(7, 1400, 900)
	made := Diff(base, target)
	got, ok := made.Apply(base)
	if !ok || !bytes.Equal(got, target) {
		t.Fatal("the patch does not make the target")
	}
	literal := 0
	for _, instruction := range made.Instructions {
		literal += len(instruction.Literal)
	}
	if literal > 400 || len(made.Instructions) > 8 {
		t.Errorf("%d bytes of literal text in %d instructions for one route of 1,400", literal, len(made.Instructions))
	}
}

func TestPatchAppliesToItsBaseOnly(t *testing.T) {
	base, target := routes(5, 20, 3), routes(7, 21, 4)
	made := Diff(base, target)
	for _, other := range [][]byte{nil, routes(6, 20, 5), base[:len(base)-1]} {
		if got, ok := made.Apply(other); ok && !bytes.Equal(got, target) {
			t.Errorf("another base makes %q", got)
		}
	}
}

func TestPatchesOfRandomTexts(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	text := func() []byte {
		made := make([]byte, random.IntN(60))
		for i := range made {
			made[i] = `{}a,`[random.IntN(4)]
		}
		return made
	}
	for range 20000 {
		base, target := text(), text()
		made := Diff(base, target)
		if got, ok := made.Apply(base); !ok || !bytes.Equal(got, target) {
			t.Fatalf("from %q to %q: %q", base, target, got)
		}
	}
}

// FuzzApply applies damaged patches.
func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"a":1}`), []byte(`{"b":2}`), 0, 7, 7)
	f.Fuzz(func(t *testing.T, base, text []byte, from, length, size int) {
		p := Patch{Instructions: []Instruction{{Offset: from, Length: length}, {Literal: text}}, Size: size}
		p.Apply(base) // whatever it is, it ends without a panic
	})
}
