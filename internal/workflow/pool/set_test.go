package pool

import (
	"errors"
	"slices"
	"testing"
)

var (
	kinds = []string{"cpu", "gpu"}
	zones = []string{"north", "south"}
)

// TestWorkerBelongsToPoolsThatItMatches checks that a worker has to match each list that a pool has, and one entry of it.
func TestWorkerBelongsToPoolsThatItMatches(t *testing.T) {
	s, err := NewSet([]Pool{{Name: "fast", Kinds: []string{"gpu"}}, {Name: "south", Zones: []string{"south"}, Cells: []int{1, 2}}, {Name: "named", Workers: []string{"w-*"}}}, kinds, zones)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		worker           string
		zone, kind, cell int
		want             []string
	}{
		{"w-1", 0, 1, 0, []string{"fast", "named"}},
		{"x", 1, 0, 2, []string{"south"}},
		{"x", 1, 0, 0, nil},
		{"x", 0, 0, 1, nil},
	} {
		if got := s.Names(s.PoolsOf(c.worker, c.zone, c.kind, c.cell)); !slices.Equal(got, c.want) {
			t.Errorf("%+v: %q", c, got)
		}
	}
	if s.Bit("named") != 4 || s.Bit("other") != 0 || (*Set)(nil).PoolsOf("w-1", 0, 0, 0) != 0 {
		t.Error("the bits of pools are not by their order")
	}
}

// TestPoolsThatAreRejected checks that pools which cannot be used are rejected with the key that is wrong.
func TestPoolsThatAreRejected(t *testing.T) {
	all := []string{"cpu"}
	for key, pools := range map[string][]Pool{
		"pool":    make([]Pool, MaxPools+1),
		"name":    {{Name: "a", Kinds: all}, {Name: "a", Kinds: all}},
		"kinds":   {{Name: "a"}},
		"workers": {{Name: "a", Workers: []string{"[w"}}},
	} {
		var got *Error
		if err := Validate(pools); !errors.As(err, &got) || got.Key != key {
			t.Errorf("%s: %v", key, err)
		}
	}
	var got *Error
	if _, err := NewSet([]Pool{{Name: "a", Zones: []string{"east"}}}, kinds, zones); !errors.As(err, &got) || got.Key != "zones" {
		t.Error(err)
	}
}
