package aging

import (
	"cmp"
	"testing"
	"time"
)

// TestServeBy checks that a step is served by its latest start, but neither before it is ready nor later than MaxDelay
// after that.
func TestServeBy(t *testing.T) {
	const ready = time.Minute
	for _, c := range []struct {
		name              string
		latestStart, want time.Duration
	}{
		{"no target", 0, ready + MaxDelay},
		{"urgent", ready + time.Second, ready + time.Second},
		{"overdue already", ready - time.Second, ready},
		{"not urgent", ready + time.Hour, ready + MaxDelay},
	} {
		if got := ServeBy(ready, c.latestStart); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

type label string

func (l label) Compare(o label) int { return cmp.Compare(l, o) }

// TestQueueOrder checks that entries come out by moment, then number, then value, whatever order they were added in.
func TestQueueOrder(t *testing.T) {
	var q Queue[label]
	for _, e := range []Entry[label]{{2, 1, "e"}, {1, 2, "d"}, {1, 1, "c"}, {1, 1, "a"}, {1, 1, "b"}} {
		q.Push(e)
	}
	got := ""
	for {
		first, _ := q.Peek()
		e, ok := q.Pop()
		if !ok {
			break
		}
		if e != first {
			t.Errorf("%v was first, %v came out", first, e)
		}
		got += string(e.Value)
	}
	if got != "abcde" || q.Len() != 0 {
		t.Errorf("%s, %d left", got, q.Len())
	}
}
