package consensus

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"yardflow/internal/fleet/statemachine"
)

// Records of the folder: eight bytes of checksum, then the content. Numbers in keys are big-endian, so that bbolt,
// which sorts by bytes, has the log in order.

// checksumSize is the length of a record's checksum (xxHash64, little-endian), in bytes.
const checksumSize = 8

// addChecksum puts a checksum over the key and the record before the record. The key is part of it, so that a record
// under another record's key is found to be corrupt.
func addChecksum(key, record []byte) []byte {
	h := xxhash.New()
	_, _ = h.Write(key) // never fails, as the package says
	_, _ = h.Write(record)
	return append(binary.LittleEndian.AppendUint64(nil, h.Sum64()), record...)
}

// verifyChecksum returns what addChecksum was given, or ErrCorrupt.
func verifyChecksum(key, data []byte) ([]byte, error) {
	if len(data) < checksumSize || !bytes.Equal(addChecksum(key, data[checksumSize:])[:checksumSize], data[:checksumSize]) {
		return nil, fmt.Errorf("%w: record %q", ErrCorrupt, key)
	}
	return data[checksumSize:], nil
}

func encodeUint64(number uint64) []byte { return binary.BigEndian.AppendUint64(nil, number) }

func encodeRecord(key []byte, m proto.Message) ([]byte, error) {
	record, err := proto.Marshal(m)
	return addChecksum(key, record), err
}

func decodeRecord(key, data []byte, into proto.Message) error {
	record, err := verifyChecksum(key, data)
	if err == nil {
		err = proto.Unmarshal(record, into)
	}
	return err
}

// A proposal is an entry of the log that holds a command.
type proposal struct {
	incarnation uint64 // of the process that proposed it
	id          uint64 // of the request there; 0: nobody waits for the result
	command     statemachine.Command
}

// proposalHeaderSize is the length of incarnation and id, each in eight bytes, little-endian, before the command.
const proposalHeaderSize = 16

func (n *Node) encodeProposal(id uint64, command statemachine.Command) ([]byte, error) {
	encoded, err := statemachine.Encode(command)
	out := binary.LittleEndian.AppendUint64(nil, n.incarnation)
	out = binary.LittleEndian.AppendUint64(out, id)
	return append(out, encoded...), err
}

// decodeProposal returns an entry's proposal; nil: the entry is the empty one with which a leader begins its term.
func decodeProposal(entry *raftpb.Entry) (*proposal, error) {
	data := entry.GetData()
	if len(data) == 0 {
		return nil, nil
	}
	if len(data) < proposalHeaderSize {
		return nil, fmt.Errorf("%w: entry %d is cut off", ErrCorrupt, entry.GetIndex())
	}
	p := &proposal{incarnation: binary.LittleEndian.Uint64(data), id: binary.LittleEndian.Uint64(data[8:])}
	if err := statemachine.Decode(data[proposalHeaderSize:], &p.command); err != nil {
		return nil, fmt.Errorf("%w: entry %d: %w", ErrCorrupt, entry.GetIndex(), err)
	}
	return p, nil
}
