// Package haproxy imports a configuration in HAProxy's format: what it says of
// frontends, backends, servers, timeouts and maxconn becomes a configuration of the
// dispatcher, and every directive that does not carry over is reported by its line.
//
// No directive is dropped in silence: each is carried over, is known to need no
// counterpart, or is reported. The package starts nothing and reads no other file.
package haproxy

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// Diagnostic reports a directive that did not carry over, or not wholly.
type Diagnostic struct {
	Line      int
	Directive string // its first two words
	Reason    string
}

func (d Diagnostic) String() string {
	return fmt.Sprintf("line %d: %s: %s", d.Line, d.Directive, d.Reason)
}

// importer collects what the sections of a file say.
type importer struct {
	diagnostics   []Diagnostic
	maxconn       int // of the section global; 0: not stated
	defaults      proxy
	namedDefaults map[string]proxy
	proxies       []*proxy
}

// Import reads a configuration and returns ours as JSON, with what did not carry over,
// by line. An error is a text that HAProxy would not accept either, or one without a
// frontend or server to import.
func Import(r io.Reader) ([]byte, []Diagnostic, error) {
	sections, err := parse(r)
	if err != nil {
		return nil, nil, err
	}
	im := &importer{defaults: newProxy(), namedDefaults: map[string]proxy{}}
	for _, s := range sections {
		if err := im.section(s); err != nil {
			return nil, nil, err
		}
	}
	out, err := im.build()
	slices.SortStableFunc(im.diagnostics, func(a, b Diagnostic) int { return a.Line - b.Line })
	return out, im.diagnostics, err
}

func (im *importer) report(d directive, reason string) {
	im.diagnostics = append(im.diagnostics, Diagnostic{d.line, strings.Join(d.words[:min(len(d.words), 2)], " "), reason})
}

func (im *importer) section(s section) error {
	switch s.kind {
	case "global":
		return im.global(s)
	case "defaults":
		return im.defaultsSection(s)
	case "frontend", "backend", "listen":
		return im.proxySection(s)
	}
	im.report(directive{s.line, []string{s.kind, s.name}}, "sections of this kind have no counterpart")
	return nil
}

func (im *importer) global(s section) error {
	for _, d := range s.body {
		if d.words[0] != "maxconn" {
			im.report(d, "process settings are the platform's")
			continue
		}
		var err error
		if im.maxconn, err = integerArgument(d, 1); err != nil {
			return err
		}
	}
	return nil
}

func (im *importer) defaultsSection(s section) error {
	p := newProxy()
	p.section = s
	if d, ok := s.headDirective(); ok && d.words[0] == "from" {
		if len(d.words) < 2 {
			return &LineError{Line: s.line, Subject: "from", Problem: "a name is missing", Remedy: "name a defaults section that stands before"}
		}
		var err error
		if p, err = im.proxyFrom(s, d.words[1]); err != nil {
			return err
		}
	}
	if err := im.directives(&p); err != nil {
		return err
	}
	im.defaults = p
	if s.name != "" {
		im.namedDefaults[s.name] = p
	}
	return nil
}

func (im *importer) proxySection(s section) error {
	p := im.defaults.copy()
	p.section = s
	if d, ok := s.headDirective(); ok {
		if len(d.words) == 2 && d.words[0] == "from" {
			var err error
			if p, err = im.proxyFrom(s, d.words[1]); err != nil {
				return err
			}
		} else {
			im.report(d, "not understood behind the section's name")
			p.body = p.body[1:]
		}
	}
	im.proxies = append(im.proxies, &p)
	return im.directives(&p)
}

// proxyFrom begins a section that stands under named defaults ("from NAME" behind its
// own name).
func (im *importer) proxyFrom(s section, defaults string) (proxy, error) {
	from, ok := im.namedDefaults[defaults]
	if !ok {
		return proxy{}, &LineError{Line: s.line, Subject: "from", Problem: fmt.Sprintf("unknown defaults %q", defaults),
			Remedy: "name a defaults section that stands before"}
	}
	p := from.copy()
	p.section = s
	p.body = p.body[1:]
	return p, nil
}
