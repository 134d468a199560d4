// Package patch encodes a text as the difference to a base that its receiver already has, by copies of ranges of the base
// and literal text, as in VCDIFF (RFC 3284). It is designed for configurations, which are JSON lists of hundreds of objects
// of which few change at a time: for one changed route of 1,400, a test allows 400 bytes of literal text.
//
// The package is pure and deterministic. The checksum in a patch detects that it was applied to the wrong base, but does not
// protect against an adversary.
package patch

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
)

// Patch is a list of instructions that make a target text from a base, in order. It is part of logged commands and of
// messages; its CBOR keys never change.
type Patch struct {
	Instructions []Instruction `cbor:"1,keyasint,omitempty"`
	Checksum     uint64        `cbor:"2,keyasint"` // xxHash64 of the target
	Size         int           `cbor:"3,keyasint"` // of the target, in bytes
}

// Instruction appends to the target a copy of the Length bytes at Offset in the base, or the literal text if Length is 0.
type Instruction struct {
	Offset  int    `cbor:"1,keyasint,omitempty"` // bytes
	Length  int    `cbor:"2,keyasint,omitempty"` // bytes
	Literal []byte `cbor:"3,keyasint,omitempty"`
}

// maxSize limits the target of a patch: 64 MiB, twice the largest configuration that is accepted. A patch with a larger size
// is not applied, so that a damaged size can't cause a larger allocation.
const maxSize = 64 << 20

// Diff returns the patch that makes target from base. It splits both into blocks, and copies a block of the target that
// occurs in the base from its first occurrence there. Time and memory are linear in both sizes.
func Diff(base, target []byte) Patch {
	offsets := map[string]int{} // of the first occurrence in the base, by block
	offset := 0
	for _, block := range splitBlocks(base) {
		if _, exists := offsets[string(block)]; !exists {
			offsets[string(block)] = offset
		}
		offset += len(block)
	}
	patch := Patch{Checksum: xxhash.Sum64(target), Size: len(target)}
	for _, block := range splitBlocks(target) {
		if from, exists := offsets[string(block)]; exists {
			patch.appendCopy(from, len(block))
		} else {
			patch.appendLiteral(block)
		}
	}
	return patch
}

// appendCopy appends the copy of a range of the base. It extends the last instruction if the range continues that one's.
func (p *Patch) appendCopy(offset, length int) {
	if last := p.last(); last != nil && last.Length > 0 && last.Offset+last.Length == offset {
		last.Length += length
		return
	}
	p.Instructions = append(p.Instructions, Instruction{Offset: offset, Length: length})
}

// appendLiteral appends literal text. It extends the last instruction if that is literal too.
func (p *Patch) appendLiteral(text []byte) {
	if last := p.last(); last != nil && last.Length == 0 {
		last.Literal = append(last.Literal, text...)
		return
	}
	p.Instructions = append(p.Instructions, Instruction{Literal: bytes.Clone(text)})
}

// last returns the last instruction, or nil if there is none.
func (p *Patch) last() *Instruction {
	if len(p.Instructions) == 0 {
		return nil
	}
	return &p.Instructions[len(p.Instructions)-1]
}

// Apply returns the text that the patch makes from the base. ok is false if the patch was made from another base or is
// damaged.
func (p *Patch) Apply(base []byte) (target []byte, ok bool) {
	if p.Size < 0 || p.Size > maxSize {
		return nil, false
	}
	target = make([]byte, 0, p.Size)
	for _, instruction := range p.Instructions {
		text, inBase := instruction.text(base)
		if !inBase || len(target)+len(text) > p.Size {
			return nil, false
		}
		target = append(target, text...)
	}
	return target, len(target) == p.Size && xxhash.Sum64(target) == p.Checksum
}

// text returns the text that the instruction appends. ok is false if the range to copy is not in the base.
func (i *Instruction) text(base []byte) (text []byte, ok bool) {
	switch {
	case i.Length == 0:
		return i.Literal, true
	case i.Offset < 0 || i.Length < 0 || i.Offset > len(base)-i.Length:
		return nil, false
	}
	return base[i.Offset : i.Offset+i.Length], true
}

// splitBlocks splits a text before each opening brace. The concatenated blocks are the text.
func splitBlocks(text []byte) [][]byte {
	var blocks [][]byte
	for len(text) > 0 {
		end := bytes.IndexByte(text[1:], '{') + 1
		if end == 0 {
			end = len(text)
		}
		blocks = append(blocks, text[:end])
		text = text[end:]
	}
	return blocks
}
