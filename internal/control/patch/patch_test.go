package patch

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
)

// makeConfiguration returns a configuration with count routes. The timeout of the route at index changed depends on the
// version.
func makeConfiguration(version, count, changed int) []byte {
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
	base, target := makeConfiguration(5, 1400, 3), makeConfiguration(7, 1400, 900)
	patch := Diff(base, target)
	got, ok := patch.Apply(base)
	if !ok || !bytes.Equal(got, target) {
		t.Fatal("the patch does not make the target")
	}
	literal := 0
	for _, instruction := range patch.Instructions {
		literal += len(instruction.Literal)
	}
	if literal > 400 || len(patch.Instructions) > 8 {
		t.Errorf("%d bytes of literal text in %d instructions for one route of 1,400", literal, len(patch.Instructions))
	}
}

func TestPatchAppliesToItsBaseOnly(t *testing.T) {
	base, target := makeConfiguration(5, 20, 3), makeConfiguration(7, 21, 4)
	patch := Diff(base, target)
	for _, other := range [][]byte{nil, makeConfiguration(6, 20, 5), base[:len(base)-1]} {
		if got, ok := patch.Apply(other); ok && !bytes.Equal(got, target) {
			t.Errorf("the patch applies to another base, with result %q", got)
		}
	}
}

func TestPatchesOfRandomTexts(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	text := func() []byte {
		generated := make([]byte, random.IntN(60))
		for i := range generated {
			generated[i] = `{}a,`[random.IntN(4)]
		}
		return generated
	}
	for range 20000 {
		base, target := text(), text()
		patch := Diff(base, target)
		if got, ok := patch.Apply(base); !ok || !bytes.Equal(got, target) {
			t.Fatalf("the patch from %q to %q makes %q", base, target, got)
		}
	}
}

// FuzzApply checks that applying a damaged patch does not panic.
func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"a":1}`), []byte(`{"b":2}`), 0, 7, 7)
	f.Fuzz(func(t *testing.T, base, text []byte, from, length, size int) {
		p := Patch{Instructions: []Instruction{{Offset: from, Length: length}, {Literal: text}}, Size: size}
		p.Apply(base)
	})
}
