package relay

import (
	"strings"
	"testing"
)

// Each rejection of a publication says what was wrong, under the code of the operators' table, and what to do.
func TestRejectionsSayWhatAnOperatorCanDo(t *testing.T) {
	for _, c := range []struct {
		err interface {
			error
			Code() string
			Advice() string
		}
		text, code string
	}{
		{&FenceError{FencingToken: 3, Current: 4}, "fencing token 3; the reader's is 4", "relay-fence"},
		{&OutdatedListError{Generation: 7, Current: 9}, "generation 7; 9 is relayed", "relay-older"},
		{&NeedsCompleteListError{}, "before the complete list", "relay-part"},
	} {
		if !strings.Contains(c.err.Error(), c.text) || c.err.Code() != c.code || c.err.Advice() == "" {
			t.Errorf("%T: %q, code %q, advice %q", c.err, c.err.Error(), c.err.Code(), c.err.Advice())
		}
	}
}

// A reader that resigned is not elected again before another was; one that lost its lease is replaced.
func TestReaderIsElectedAmongHoldersOfALease(t *testing.T) {
	all := func(string) bool { return true }
	none := func(string) bool { return false }
	list := &List{}
	list.ElectReader("a", 0, all)
	if list.Reader != "a" || list.FencingToken != 1 {
		t.Fatalf("reader %q under %d", list.Reader, list.FencingToken)
	}
	list.ElectReader("b", 0, all)
	if list.Reader != "a" {
		t.Errorf("%q replaces a reader that holds its lease", list.Reader)
	}
	list.ElectReader("a", 1, all) // it can't reach the list service
	if list.Reader != "" || list.ResignedReader != "a" {
		t.Errorf("reader %q, resigned %q", list.Reader, list.ResignedReader)
	}
	list.ElectReader("b", 0, all)
	if list.Reader != "b" || list.FencingToken != 2 {
		t.Errorf("reader %q under %d", list.Reader, list.FencingToken)
	}
	list.ElectReader("c", 0, none)
	if list.Reader != "c" || list.FencingToken != 3 {
		t.Errorf("reader %q under %d behind one without a lease", list.Reader, list.FencingToken)
	}
}
