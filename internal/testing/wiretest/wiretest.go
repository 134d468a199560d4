// Package wiretest helps tests that guard what is stored or sent: it fills values of any type so that no field is
// empty, and compares encodings with golden files byte for byte. A field that loses its key, a key that moves or a
// type that changes its form shows in both.
//
// It is for tests only and has no randomness: the same type is always filled alike.
package wiretest

import (
	"encoding/hex"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/sebdah/goldie/v2"
)

// maxDepth bounds how deep types that contain themselves are filled.
const maxDepth = 12

// hexLineBytes is how many bytes of an encoding stand on one line of a golden file.
const hexLineBytes = 32

// Fill sets every exported field, however deep, of what target points at: numbers rise with each field, strings carry
// the number, slices get two elements, maps one pair and pointers a new value.
func Fill(target any) {
	filler := &filler{}
	filler.fill(reflect.ValueOf(target).Elem(), 0)
}

type filler struct{ next uint64 }

func (f *filler) number() uint64 {
	f.next++
	return f.next
}

func (f *filler) fill(value reflect.Value, depth int) {
	if depth > maxDepth || !value.CanSet() {
		return
	}
	if value.Type() == reflect.TypeFor[cbor.RawMessage]() {
		value.SetBytes([]byte{byte(f.number() % 24)})
		return
	}
	switch value.Kind() {
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt(int64(f.number() % 100))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(f.number() % 100)
	case reflect.Float32, reflect.Float64:
		value.SetFloat(float64(f.number()) + 0.5)
	case reflect.String:
		value.SetString("s" + string(rune('a'+f.number()%26)))
	case reflect.Struct:
		for i := range value.NumField() {
			f.fill(value.Field(i), depth+1)
		}
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		f.fill(value.Elem(), depth+1)
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 2, 2))
		for i := range 2 {
			f.fill(value.Index(i), depth+1)
		}
	case reflect.Array:
		for i := range value.Len() {
			f.fill(value.Index(i), depth+1)
		}
	case reflect.Map:
		value.Set(reflect.MakeMap(value.Type()))
		key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		f.fill(key, depth+1)
		f.fill(element, depth+1)
		value.SetMapIndex(key, element)
	}
}

// AssertEncoding fills a T, encodes it, compares the bytes with the golden file name, and checks that what the golden
// file holds is read back to the same value.
func AssertEncoding[T any](t *testing.T, name string, encode func(T) ([]byte, error), decode func([]byte, *T) error) {
	t.Helper()
	var value, read T
	Fill(&value)
	encoded, err := encode(value)
	if err != nil {
		t.Fatal(err)
	}
	AssertBytes(t, name, encoded)
	if err := decode(encoded, &read); err != nil {
		t.Fatal(err)
	}
	again, err := encode(read)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(Hex(encoded), Hex(again)); diff != "" {
		t.Errorf("%s is not read back to what was written (-written +read):\n%s", name, diff)
	}
}

// AssertRecoded checks that the bytes in the golden file name, which an earlier version wrote, are read and written again
// to the same bytes: fields that came later are left out where they are not set.
func AssertRecoded[T any](t *testing.T, name string, encode func(T) ([]byte, error), decode func([]byte, *T) error) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name+".golden"))
	if err != nil {
		t.Fatal(err)
	}
	earlier, err := hex.DecodeString(strings.Join(strings.Fields(string(text)), ""))
	if err != nil {
		t.Fatal(err)
	}
	var value T
	if err := decode(earlier, &value); err != nil {
		t.Fatal(err)
	}
	again, err := encode(value)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(Hex(earlier), Hex(again)); diff != "" {
		t.Errorf("%s of an earlier version is not read back to what it was (-earlier +again):\n%s", name, diff)
	}
}

// AssertBytes compares bytes with the golden file name, which holds them as hexadecimal digits.
func AssertBytes(t *testing.T, name string, data []byte) {
	t.Helper()
	goldie.New(t).Assert(t, name, []byte(Hex(data)))
}

// Hex returns bytes as lines of hexadecimal digits.
func Hex(data []byte) string {
	var out strings.Builder
	for len(data) > 0 {
		line := data[:min(hexLineBytes, len(data))]
		out.WriteString(hex.EncodeToString(line) + "\n")
		data = data[len(line):]
	}
	return out.String()
}
