package segment

import (
	"fmt"
	"slices"
	"testing"
)

// FuzzOpen overwrites bytes at any place in one file of a store, and checks that Open then fails or recovers only records
// that were written.
func FuzzOpen(f *testing.F) {
	f.Add(byte(0), uint16(0), []byte("\x00\x00\x00\x00"))
	f.Add(byte(1), uint16(40), []byte("\xff\xff\xff\xff\xff\xff\xff\xff"))
	f.Add(byte(4), uint16(8), []byte("damaged"))
	f.Fuzz(func(t *testing.T, place byte, offset uint16, damage []byte) {
		folder := newMemoryFolder()
		store, _ := open(t, folder)
		for index := uint64(1); index <= 20; index++ {
			if err := store.Append([]Record{record(index, fmt.Sprint("entry ", index))}); err != nil {
				t.Fatal(err)
			}
		}
		if err := store.Sync(); err != nil {
			t.Fatal(err)
		}
		names := []string{}
		for name := range folder.files {
			names = append(names, name)
		}
		slices.Sort(names)
		file := folder.files[names[int(place)%len(names)]]
		file.content = write(file.content, damage[:min(len(damage), 64)], int64(offset)%max(int64(len(file.content)), 1))
		_, recovered, err := Open(folder, layout)
		if err != nil {
			return
		}
		for _, got := range recovered.Records {
			if string(got.Data) != fmt.Sprint("entry ", got.Index) {
				t.Fatalf("record %d is recovered as %q, which was never written", got.Index, got.Data)
			}
		}
	})
}
