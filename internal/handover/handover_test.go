package handover

import (
	"fmt"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Two processes change the set at once: no change is lost, twice out needs one
// call back, and whoever opens the file next has it.
func TestBansOutlastAProcess(t *testing.T) {
	dir := t.TempDir()
	var wg sync.WaitGroup
	for p := range 2 {
		b, err := OpenBans(dir, "n/0")
		if err != nil {
			t.Fatal(err)
		}
		wg.Go(func() {
			for i := range 20 {
				for _, out := range []bool{true, true, i%2 == 0} {
					if _, err := b.Set(fmt.Sprintf("s-%d%02d", p, i), out); err != nil {
						t.Error(err)
					}
				}
			}
		})
	}
	wg.Wait()
	var want []string
	for p := range 2 {
		for i := 0; i < 20; i += 2 {
			want = append(want, fmt.Sprintf("s-%d%02d", p, i))
		}
	}
	b, err := OpenBans(dir, "n/0")
	if err != nil {
		t.Fatal(err)
	}
	got, err := b.Read()
	if diff := cmp.Diff(want, got); diff != "" || err != nil || !b.Has("s-000") || b.Has("s-001") {
		t.Error(diff, err)
	}
}
