package gossip

import (
	"encoding/binary"
	"hash/crc32"
	"math"
)

// Format of a message. All numbers are little-endian. The header consists of version and flags (4 bits each), the sender's
// dispatcher number, incarnation and sequence number (2 bytes each) and the number of usages (1 byte). It is followed by the
// usages of 5 bytes: the worker's hash (3 bytes), slots and memory (1 byte each). The last 2 bytes are the checksum. Bytes
// between usages and checksum come from senders of a newer version and are ignored.
const (
	// MaxMessageBytes is the longest message that the platform's protocol allows.
	MaxMessageBytes = 256

	version       = 1 // of the format; messages of other versions are dropped
	headerBytes   = 8
	usageBytes    = 5
	checksumBytes = 2
	// maxUsages is the number of usages that fit into one message.
	maxUsages = (MaxMessageBytes - headerBytes - checksumBytes) / usageBytes

	// flagComplete means that the sender has nothing in use at workers that are not in the message.
	flagComplete = 1

	stepsPerSlot       = 4  // encoded steps in a slot
	stepsPerMemoryUnit = 16 // encoded steps in a memory unit
	workerHashMask     = 1<<24 - 1
)

// Usage is the capacity that a dispatcher has in use at one worker.
type Usage struct {
	WorkerHash uint32  // low 24 bits of a hash that all dispatchers compute in the same way
	Slots      float64 // slots of the dispatcher's jobs at the worker, 0 to 63.75 in quarters
	Memory     float64 // memory units of these jobs, 0 to 15.9 in sixteenths
}

// header holds the fields of a message other than its usages.
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
			scaled(u.Slots, stepsPerSlot), scaled(u.Memory, stepsPerMemoryUnit))
	}
	return binary.LittleEndian.AppendUint16(datagram, checksum(datagram))
}

// decode returns the header and the encoded usages of a message. It returns false if the message is corrupt or of another
// version.
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

// decodeUsage decodes the first usage in encoded.
func decodeUsage(encoded []byte) Usage {
	return Usage{
		WorkerHash: uint32(encoded[0]) | uint32(encoded[1])<<8 | uint32(encoded[2])<<16,
		Slots:      float64(encoded[3]) / stepsPerSlot,
		Memory:     float64(encoded[4]) / stepsPerMemoryUnit,
	}
}

// checksum folds a CRC-32 into 16 bits.
func checksum(body []byte) uint16 {
	sum := crc32.ChecksumIEEE(body)
	return uint16(sum ^ sum>>16)
}

// scaled returns a value in encoded steps, given the number of steps in a unit. It rounds up so that a small value is never
// reported as 0.
func scaled(value, steps float64) byte { return byte(min(math.Ceil(max(value, 0)*steps), 255)) }
