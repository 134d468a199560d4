package protocol

import "github.com/fxamacker/cbor/v2"

// decoding bounds what a message from the network can make the decoder allocate or recurse into. The largest lists are
// those of a state's snapshot.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 32, MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20}.DecMode()
	if err != nil {
		panic(err) // a constant of this program is wrong
	}
	return mode
}()

// Encode returns a message as CBOR. It panics on a type that can't be encoded: only types of this program are.
func Encode(message any) []byte {
	data, err := cbor.Marshal(message)
	if err != nil {
		panic(err)
	}
	return data
}

// Decode reads a message and reports whether it could be read. Fields that it does not know are skipped.
func Decode(data []byte, message any) bool { return decoding.Unmarshal(data, message) == nil }
