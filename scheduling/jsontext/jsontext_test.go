package jsontext

import (
	"encoding/json"
	"testing"
)

func TestStructureOutsideOfStringsIsCounted(t *testing.T) {
	cases := map[string]Counts{
		``:                                     {},
		`null`:                                 {},
		`{"a":1,"b":[2,3]}`:                    {Objects: 1, Arrays: 1, Separators: 4},
		`["a,b:{[","\",\\",","]`:               {Arrays: 1, Separators: 2},
		`[{"a":[1,2,3],"b":{"c":1,"d":2}},{}]`: {Objects: 3, Arrays: 2, Separators: 9},
		`"ends early \`:                        {},
	}
	for text, want := range cases {
		if got := Count([]byte(text)); got != want {
			t.Errorf("%s: %+v, want %+v", text, got, want)
		}
	}
}

// FuzzHasMoreElements compares the count of an array's elements with the decoder's.
func FuzzHasMoreElements(f *testing.F) {
	for _, text := range []string{`[]`, `[{}]`, `[1,2]`, `[{"a":[1,2,3]},{"b":{"c":1,"d":2}},"x,y"]`, `["a,b","\",\\",","]`, ` [ 1 , [2,3] ] `} {
		f.Add([]byte(text), 2)
	}
	f.Fuzz(func(t *testing.T, text []byte, limit int) {
		elements := []json.RawMessage{}
		if limit < 1 || json.Unmarshal(text, &elements) != nil || elements == nil {
			return
		}
		if got := HasMoreElements(text, limit); got != (len(elements) > limit) {
			t.Errorf("%q: more than %d elements: %v, the decoder finds %d", text, limit, got, len(elements))
		}
	})
}
