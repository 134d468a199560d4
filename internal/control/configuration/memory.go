package configuration

import "yardflow/scheduling/jsontext"

// Memory that values take once they are parsed, in bytes. The figures are above those of the runtime: an object with one member
// has a table of eight places.
const (
	objectBytes    = 400
	arrayBytes     = 48
	separatorBytes = 64 // a member, or an entry of a list that grows by doubling
)

// ParsingMemory returns how many bytes Parse takes at most for a body, beside the body itself.
func ParsingMemory(body []byte) int64 {
	counts := jsontext.Count(body)
	values := objectBytes*counts.Objects + arrayBytes*counts.Arrays + separatorBytes*counts.Separators
	return int64(len(body)) + int64(values)
}
