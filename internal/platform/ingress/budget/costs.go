package budget

// Costs of what is read, in bytes of memory.
const (
	// headFactor is how many bytes one byte of a head costs: it is read into a buffer that doubles, and kept as text.
	headFactor = 4
	// lineBytes is what a line of a head costs as an entry of a map.
	lineBytes = 192
	// includedHeadBytes of a head's cost are part of ConnectionBytes.
	includedHeadBytes = 16 << 10
)

// HeadCost returns what a head of so many bytes and lines has to claim.
func HeadCost(bytes, lines int64) int64 {
	return max(0, headFactor*bytes+lineBytes*lines-includedHeadBytes)
}
