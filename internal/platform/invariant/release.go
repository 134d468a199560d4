//go:build !debug

package invariant

// Debug tells that a broken invariant stops the program.
const Debug = false
