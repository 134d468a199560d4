// Adapter hosts dispatchers of package dispatch on the wire of the users' simulator: batches of events on standard input,
// a reply with actions to each on standard output. It translates both ways and decides nothing. Input that can't be read
// ends it with one line that names the record at fault.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"yardflow/internal/gateway/simwire"
)

const (
	// gcPercent makes the collector run late: few objects live long, and they are small.
	gcPercent = 400
	// replyBufferBytes is how much of a reply is written at once.
	replyBufferBytes = 1 << 20
)

func main() {
	debug.SetGCPercent(gcPercent)
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	r, w := simwire.NewReader(in), bufio.NewWriterSize(out, replyBufferBytes)
	h := newHost()
	for {
		batch, err := r.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.handleBatch(batch); err != nil {
			return err
		}
		if _, err := w.Write(h.reply.Bytes()); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}
