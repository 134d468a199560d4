//go:build debug

package invariant

// Debug says whether a violation panics.
const Debug = true
