// Package patch writes a text as the difference to another one that the reader
// has already. It is meant for configurations: lists of objects of which few
// change at a time. It is pure and deterministic.
package patch

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
)

// Instruction is one piece of the new text: Length bytes of the base from the offset From on, or Text.
type Instruction struct {
	Offset  int    `cbor:"1,keyasint,omitempty"` // bytes
	Length  int    `cbor:"2,keyasint,omitempty"` // bytes; 0: the piece is Text
	Literal []byte `cbor:"3,keyasint,omitempty"`
}

// Patch makes a new text from a base.
type Patch struct {
	Instructions []Instruction `cbor:"1,keyasint,omitempty"`
	Checksum     uint64        `cbor:"2,keyasint"` // xxHash64 of the new text: shows that the base was the right one
	Size         int           `cbor:"3,keyasint"` // of the new text, bytes
}

// maxSize bounds the text that a patch may make: 64 MiB, twice the largest configuration that is accepted.
const maxSize = 64 << 20

// Diff returns the patch that makes target from base.
func Diff(base, target []byte) Patch {
	known := map[string]int{}
	offset := 0
	for _, block := range blocks(base) {
		if _, stands := known[string(block)]; !stands {
			known[string(block)] = offset
		}
		offset += len(block)
	}
	made := Patch{Checksum: xxhash.Sum64(target), Size: len(target)}
	for _, block := range blocks(target) {
		if from, stands := known[string(block)]; stands {
			made.copyFrom(from, len(block))
		} else {
			made.write(block)
		}
	}
	return made
}

// copyFrom appends a piece of the base, as a part of the last piece where it goes on from there.
func (p *Patch) copyFrom(from, length int) {
	if last := len(p.Instructions) - 1; last >= 0 && p.Instructions[last].Length > 0 &&
		p.Instructions[last].Offset+p.Instructions[last].Length == from {
		p.Instructions[last].Length += length
		return
	}
	p.Instructions = append(p.Instructions, Instruction{Offset: from, Length: length})
}

// write appends a piece of new text.
func (p *Patch) write(text []byte) {
	if last := len(p.Instructions) - 1; last >= 0 && p.Instructions[last].Length == 0 {
		p.Instructions[last].Literal = append(p.Instructions[last].Literal, text...)
		return
	}
	p.Instructions = append(p.Instructions, Instruction{Literal: bytes.Clone(text)})
}

// Apply returns the text that the patch makes from the base, and false where the base is not the one for
// which the patch was made.
func (p *Patch) Apply(base []byte) ([]byte, bool) {
	if p.Size < 0 || p.Size > maxSize {
		return nil, false
	}
	made := make([]byte, 0, p.Size)
	for _, piece := range p.Instructions {
		if piece.Length == 0 {
			made = append(made, piece.Literal...)
		} else if piece.Offset >= 0 && piece.Length > 0 && piece.Offset <= len(base)-piece.Length {
			made = append(made, base[piece.Offset:piece.Offset+piece.Length]...)
		} else {
			return nil, false
		}
		if len(made) > p.Size {
			return nil, false
		}
	}
	return made, len(made) == p.Size && xxhash.Sum64(made) == p.Checksum
}

// blocks cuts a text before each object that begins in it.
func blocks(text []byte) [][]byte {
	var list [][]byte
	for len(text) > 0 {
		end := bytes.IndexByte(text[1:], '{') + 1
		if end == 0 {
			end = len(text)
		}
		list = append(list, text[:end])
		text = text[end:]
	}
	return list
}
