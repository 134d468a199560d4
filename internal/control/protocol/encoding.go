package protocol

import "github.com/fxamacker/cbor/v2"

// decodeMode limits the memory and recursion depth that a message from the network can make the decoder use. The largest
// lists are those in a snapshot of the state.
var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 32, MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// Encode returns a message as CBOR. It panics if the type can't be encoded; all message types of this program can.
func Encode(message any) []byte {
	data, err := cbor.Marshal(message)
	if err != nil {
		panic(err)
	}
	return data
}

// Decode decodes a message and reports whether it succeeded. It skips unknown fields.
func Decode(data []byte, message any) bool { return decodeMode.Unmarshal(data, message) == nil }
