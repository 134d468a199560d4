// Package tomlfile decodes operators' TOML files so that each fault is reported with its line and
// key. It knows no file in particular: what its values may be is checked by whoever decodes it.
package tomlfile

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Duration is a time span written as text, such as "5s".
type Duration struct{ time.Duration }

// UnmarshalText reads a Duration in the form of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) (err error) {
	d.Duration, err = time.ParseDuration(string(text))
	return err
}

// KeyError is what is wrong with one key of a file, and what was expected.
type KeyError struct{ Key, Problem string }

func (e *KeyError) Error() string { return e.Key + ": " + e.Problem }

// KeyErrorf returns a KeyError whose problem is formatted.
func KeyErrorf(key, format string, args ...any) error {
	return &KeyError{key, fmt.Sprintf(format, args...)}
}

// Decode decodes a file's text into to and then calls check. An error begins with
// the line, to follow the file's name and a colon.
func Decode(text []byte, to any, check func() error) error {
	keys := IndexKeys(text)
	err := toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields().Decode(to)
	var unknown *toml.StrictMissingError
	var malformed *toml.DecodeError
	switch {
	case errors.As(err, &unknown):
		line, _ := unknown.Errors[0].Position()
		return fmt.Errorf("%d: %s: unknown key", line, strings.Join(unknown.Errors[0].Key(), "."))
	case errors.As(err, &malformed):
		line, _ := malformed.Position()
		key := strings.Join(malformed.Key(), ".")
		if key == "" {
			key = keys.keyAt(line)
		}
		return fmt.Errorf("%d: %s: %s", line, key, strings.TrimPrefix(malformed.Error(), "toml: "))
	case err != nil:
		return fmt.Errorf(" %w", err)
	}
	err = check()
	var wrong *KeyError
	switch {
	case errors.As(err, &wrong):
		return fmt.Errorf("%d: %w", keys.Line(wrong.Key), err)
	case err != nil:
		return fmt.Errorf(" %w", err)
	}
	return nil
}

// keyLine is where a key stands.
type keyLine struct {
	key  string
	line int
}

// KeyIndex finds the lines of a TOML file's keys.
type KeyIndex []keyLine

// IndexKeys finds the line of every key. Tables of a list count from 0, as in a[0].b.
func IndexKeys(text []byte) (index KeyIndex) {
	var p unstable.Parser
	p.Reset(text)
	prefix, tables := "", map[string]int{}
	for p.NextExpression() {
		e := p.Expression()
		var parts []string
		line := 0
		for it := e.Key(); it.Next(); {
			parts = append(parts, string(it.Node().Data))
			line = p.Shape(it.Node().Raw).Start.Line
		}
		key := strings.Join(parts, ".")
		switch e.Kind {
		case unstable.ArrayTable:
			prefix = fmt.Sprintf("%s[%d]", key, tables[key])
			tables[key]++
			key = prefix
		case unstable.Table:
			prefix = key
		case unstable.KeyValue:
			if prefix != "" {
				key = prefix + "." + key
			}
		}
		index = append(index, keyLine{key, line})
	}
	return index
}

// Line returns a key's line, or that of the innermost table around it that is there.
func (x KeyIndex) Line(key string) int {
	for key != "" {
		for _, k := range x {
			if k.key == key {
				return k.line
			}
		}
		key = key[:max(strings.LastIndexAny(key, ".["), 0)]
	}
	return 1
}

// Has reports whether a key is there.
func (x KeyIndex) Has(key string) bool {
	return slices.ContainsFunc(x, func(k keyLine) bool { return k.key == key })
}

// keyAt is the last key that begins on a line or before it.
func (x KeyIndex) keyAt(line int) (key string) {
	for _, k := range x {
		if k.line <= line {
			key = k.key
		}
	}
	return key
}

// HasSection reports whether there is a table of that name, or a key in it.
func (x KeyIndex) HasSection(name string) bool {
	return slices.ContainsFunc(x, func(k keyLine) bool {
		return k.key == name || strings.HasPrefix(k.key, name+".") || strings.HasPrefix(k.key, name+"[")
	})
}
