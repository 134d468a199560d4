package gossip

import (
	"encoding/binary"
	"hash/crc32"
	"math"
)

// Form of a message; all numbers are little-endian. The header is version and flags (4 bits each), the sender's
// dispatcher, incarnation and sequence (2 bytes each) and the number of usages (1 byte). Usages of 5 bytes follow:
// the worker's hash (3), slots and memory (1 each). The checksum is the last. Bytes between usages and checksum are a
// newer sender's, and are not read.
const (
	// MaxMessageBytes is the longest message, in bytes: the platform's protocol.
	MaxMessageBytes = 256

	version       = 1 // of the form; a message of another one is dropped
	headerBytes   = 8
	usageBytes    = 5
	checksumBytes = 2
	// maxUsages is how many workers one message can speak of.
	maxUsages = (MaxMessageBytes - headerBytes - checksumBytes) / usageBytes

	// flagComplete: workers that are not named are not in use by the sender.
	flagComplete = 1

	slotsUnit      = 4  // steps a slot
	memoryUnit     = 16 // steps a memory unit
	workerHashMask = 1<<24 - 1
)

// Usage is what a dispatcher has in use at one worker.
type Usage struct {
	WorkerHash uint32  // low 24 bits of a hash that all dispatchers compute alike
	Slots      float64 // slots of its jobs there, 0 to 63.75 in quarters
	Memory     float64 // memory units of these, 0 to 15.9 in sixteenths
}

// header is all of a message but its usages.
type header struct {
	isComplete bool
	sender     process
	sequence   uint16 // of the sender's messages; wraps around
}

func encode(h header, usages []Usage) []byte {
	flags := byte(0)
	if h.isComplete {
		flags = flagComplete
	}
	datagram := make([]byte, 0, headerBytes+usageBytes*len(usages)+checksumBytes)
	datagram = append(datagram, version<<4|flags)
	datagram = binary.LittleEndian.AppendUint16(datagram, h.sender.dispatcher)
	datagram = binary.LittleEndian.AppendUint16(datagram, h.sender.incarnation)
	datagram = binary.LittleEndian.AppendUint16(datagram, h.sequence)
	datagram = append(datagram, byte(len(usages)))
	for _, u := range usages {
		datagram = append(datagram, byte(u.WorkerHash), byte(u.WorkerHash>>8), byte(u.WorkerHash>>16),
			scaled(u.Slots, slotsUnit), scaled(u.Memory, memoryUnit))
	}
	return binary.LittleEndian.AppendUint16(datagram, checksum(datagram))
}

// decode returns a message's header and its encoded usages, and false where it is garbled or of another version.
func decode(datagram []byte) (h header, usages []byte, ok bool) {
	if len(datagram) < headerBytes+checksumBytes || len(datagram) > MaxMessageBytes || datagram[0]>>4 != version {
		return header{}, nil, false
	}
	body, sum := datagram[:len(datagram)-checksumBytes], datagram[len(datagram)-checksumBytes:]
	end := headerBytes + int(body[7])*usageBytes
	if checksum(body) != binary.LittleEndian.Uint16(sum) || len(body) < end {
		return header{}, nil, false
	}
	return header{
		isComplete: body[0]&flagComplete != 0,
		sender:     process{binary.LittleEndian.Uint16(body[1:]), binary.LittleEndian.Uint16(body[3:])},
		sequence:   binary.LittleEndian.Uint16(body[5:]),
	}, body[headerBytes:end], true
}

// decodeUsage decodes the usage with which encoded begins.
func decodeUsage(encoded []byte) Usage {
	return Usage{
		WorkerHash: uint32(encoded[0]) | uint32(encoded[1])<<8 | uint32(encoded[2])<<16,
		Slots:      float64(encoded[3]) / slotsUnit,
		Memory:     float64(encoded[4]) / memoryUnit,
	}
}

// checksum folds a CRC-32 into 16 bits.
func checksum(body []byte) uint16 {
	sum := crc32.ChecksumIEEE(body)
	return uint16(sum ^ sum>>16)
}

// scaled rounds up, so that a little is never reported as nothing.
func scaled(value, unit float64) byte { return byte(min(math.Ceil(max(value, 0)*unit), 255)) }
