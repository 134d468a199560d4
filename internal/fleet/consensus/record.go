package consensus

// This file owns the form of records in the folder: each carries a checksum over its key and its content.

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"yardflow/internal/fleet/statemachine"
)

// sealed puts a checksum before a record, by its key, so that one in another's place shows.
func sealed(key, record []byte) []byte {
	h := xxhash.New()
	h.Write(key)
	h.Write(record)
	return append(binary.LittleEndian.AppendUint64(nil, h.Sum64()), record...)
}

func unsealed(key, text []byte) ([]byte, error) {
	if len(text) < 8 || !bytes.Equal(sealed(key, text[8:])[:8], text[:8]) {
		return nil, fmt.Errorf("%w: record %q", ErrCorrupt, key)
	}
	return text[8:], nil
}

func logKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// reword reads an entry's command, and who proposed it; nil: it has none.
func reword(e *raftpb.Entry) (cmd *statemachine.Command, life, n uint64, err error) {
	text := e.GetData()
	if len(text) == 0 {
		return nil, 0, 0, nil // a leader's first
	}
	if len(text) < 16 {
		return nil, 0, 0, fmt.Errorf("%w: entry %d is cut off", ErrCorrupt, e.GetIndex())
	}
	cmd = &statemachine.Command{}
	if err := statemachine.Decode(text[16:], cmd); err != nil {
		return nil, 0, 0, fmt.Errorf("%w: entry %d: %v", ErrCorrupt, e.GetIndex(), err)
	}
	return cmd, binary.LittleEndian.Uint64(text), binary.LittleEndian.Uint64(text[8:]), nil
}

func unpack(key, text []byte, into proto.Message) error {
	record, err := unsealed(key, text)
	if err == nil {
		err = proto.Unmarshal(record, into)
	}
	return err
}

func pack(key []byte, m proto.Message) ([]byte, error) {
	record, err := proto.Marshal(m)
	return sealed(key, record), err
}
