package policy

import "strconv"

// form is the newest format version of documents that this program knows. A build may set it lower, by
// -ldflags "-X yardflow/internal/fleet/policy.form=1", to stand for an older program in tests of mixed versions; hence
// the name and the type.
var form = "5"

// formatOfKey is the format version with which each key of a document came. A program that knows older versions alone
// can't run a document with such a key, and votes against it.
var formatOfKey = map[string]int{"ban": 1, "attempts": 1, "rule": 2, "room": 2, "contract": 2,
	"limit": 3, "dispatchers": 3, "settle": 3, "verdicts": 3, "start": 4, "flow": 5, "pool": 5}

// FormatVersion is the newest format version of documents that this program knows.
func FormatVersion() int {
	version, err := strconv.Atoi(form)
	if err != nil {
		return 0
	}
	return version
}
