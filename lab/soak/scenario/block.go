package scenario

import (
	"fmt"
	"net"
	"sort"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// Ports of the cluster's machines; each machine has an address of its own in the loopback range.
const (
	controlPort = 8146
	frontPort   = 8144
	readyPort   = 8140
	workerPort  = 8366
	cloudPort   = 8142
	guardPort   = 7999 // one listener on it reserves a block of addresses
)

// Blocks of the loopback range, 127.BLOCK.KIND.NUMBER.
const (
	firstBlock = 20
	blocks     = 200
	guardKind  = 0
	coreKind   = 1
	frontKind  = 2 // and above: 200 machines to a kind
	workerKind = 20
	cloudKind  = 40
	perKind    = 200
)

// block is a part of the loopback range that one soak has for itself.
type block struct {
	number int
	guard  net.Listener
}

const errNoBlock = errors.ConstError("no block of the loopback range is free")

func reserveBlock(seed uint64) (*block, error) {
	for i := range uint64(blocks) {
		b := &block{number: firstBlock + int((seed+i)%blocks)}
		guard, err := net.Listen("tcp", b.ip(guardKind, 1)+":"+strconv.Itoa(guardPort))
		if err == nil {
			b.guard = guard
			return b, nil
		}
	}
	return nil, errors.Trace(errNoBlock)
}

func (b *block) release() { b.guard.Close() }

func (b *block) ip(kind, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", b.number, kind+number/perKind, 1+number%perKind)
}

// address returns where the named machine serves.
func (b *block) address(machine string) string {
	role, text, _ := strings.Cut(machine, "-")
	number, _ := strconv.Atoi(text)
	switch role {
	case "core":
		return fmt.Sprintf("%s:%d", b.ip(coreKind, number), controlPort)
	case "front":
		return fmt.Sprintf("%s:%d", b.ip(frontKind, number), frontPort)
	case "worker":
		return fmt.Sprintf("%s:%d", b.ip(workerKind, number), workerPort)
	}
	return fmt.Sprintf("%s:%d", b.ip(cloudKind, 0), cloudPort)
}

// readyAddress returns where the platform asks a dispatcher whether it is ready.
func (b *block) readyAddress(machine string) string {
	host, _, _ := net.SplitHostPort(b.address(machine))
	return fmt.Sprintf("%s:%d", host, readyPort)
}

func listCounts(counts map[string]int) string {
	names := []string{}
	for name := range counts {
		names = append(names, name)
	}
	sort.Strings(names)
	words := make([]string, len(names))
	for i, name := range names {
		words[i] = fmt.Sprintf("%d %s", counts[name], name)
	}
	return strings.Join(words, ", ")
}
