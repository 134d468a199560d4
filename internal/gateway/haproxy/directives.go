package haproxy

import (
	"fmt"
	"maps"
	"net"
	"strconv"
	"strings"
	"time"
)

// proxy is a frontend, a backend or both (listen), with the defaults it stands under.
type proxy struct {
	section
	timeouts         map[string]time.Duration // "connect" and "server"
	maxconn          int
	retries          int
	retriesAfterSend bool // it repeats requests that may have run
	binds            []string
	servers          []server
	defaultServer    server
	defaultBackend   string
}

// defaultRetries is HAProxy's own (its configuration manual, "retries").
const defaultRetries = 3

func newProxy() proxy {
	return proxy{timeouts: map[string]time.Duration{}, retries: defaultRetries}
}

// copy returns the proxy as another's defaults: without addresses and servers.
func (p *proxy) copy() proxy {
	c := *p
	c.timeouts = maps.Clone(p.timeouts)
	c.binds, c.servers = nil, nil
	return c
}

// directives applies a section's body to its proxy.
func (im *importer) directives(p *proxy) error {
	for _, d := range p.body {
		if err := im.directive(p, d); err != nil {
			return err
		}
	}
	return nil
}

func (im *importer) directive(p *proxy, d directive) (err error) {
	w := d.words
	switch w[0] {
	case "mode":
		if len(w) < 2 || w[1] != "http" {
			im.report(d, "only http is served")
		}
	case "timeout":
		err = im.timeout(p, d)
	case "maxconn":
		p.maxconn, err = integerArgument(d, 1)
	case "retries":
		p.retries, err = integerArgument(d, 0)
	case "retry-on":
		im.retryOn(p, d)
	case "bind":
		err = im.bind(p, d)
	case "default_backend":
		if len(w) < 2 {
			return &LineError{Line: d.line, Subject: "default_backend", Problem: "a name is missing", Remedy: "name a backend"}
		}
		p.defaultBackend = w[1]
	case "default-server":
		err = im.serverParams(&p.defaultServer, d, w[1:])
	case "server":
		err = im.server(p, d)
	case "option":
		if len(w) > 1 && (w[1] == "redispatch" || w[1] == "http-keep-alive") {
			return nil // the dispatcher does both
		}
		im.report(d, reasonsNotCarried["option"])
	default:
		reason := reasonsNotCarried[w[0]]
		if reason == "" {
			reason = "no counterpart"
		}
		im.report(d, reason)
	}
	return err
}

// reasonsNotCarried says of directives that are known why they do not carry over.
var reasonsNotCarried = map[string]string{
	"balance":     "the dispatcher's own decisions take its place",
	"acl":         "a request's class is named by its X-Priority-Class header",
	"use_backend": "a request's class is named by its X-Priority-Class header",
	"use-server":  "the dispatcher's own decisions take its place",
	"cookie":      "stickiness has no counterpart",
	"stick":       "stickiness has no counterpart",
	"stick-table": "stickiness has no counterpart",
	"option":      "options have no counterpart",
	"http-check":  "loan workers are not probed; discovery and answers tell of them",
	"log":         "the log goes to standard error",
	"fullconn":    "limits for each worker are learned",
}

// integerArgument reads the second word of a directive as a number of least or more.
func integerArgument(d directive, least int) (int, error) {
	if len(d.words) < 2 {
		return 0, &LineError{Line: d.line, Subject: d.words[0], Problem: "a number is missing", Remedy: fmt.Sprintf("write a number of %d or more behind it", least)}
	}
	n, err := strconv.Atoi(d.words[1])
	if err != nil || n < least {
		return 0, &LineError{Line: d.line, Subject: d.words[0], Problem: fmt.Sprintf("%q is not a number of %d or more", d.words[1], least),
			Remedy: fmt.Sprintf("write a number of %d or more behind it", least)}
	}
	return n, nil
}

// units of times; the empty suffix comes last, as every text ends with it.
var units = []struct {
	suffix string
	unit   time.Duration
}{{"us", time.Microsecond}, {"ms", time.Millisecond}, {"s", time.Second}, {"m", time.Minute},
	{"h", time.Hour}, {"d", 24 * time.Hour}, {"", time.Millisecond}}

// parseTime reads a time in HAProxy's form: a number and a unit, milliseconds without.
func parseTime(text string) (time.Duration, bool) {
	for _, u := range units {
		digits, ok := strings.CutSuffix(text, u.suffix)
		if n, err := strconv.ParseUint(digits, 10, 31); ok && err == nil {
			return time.Duration(n) * u.unit, true
		}
	}
	return 0, false
}

func (im *importer) timeout(p *proxy, d directive) error {
	if len(d.words) < 3 {
		return &LineError{Line: d.line, Subject: "timeout", Problem: "its name or time is missing", Remedy: "write it as timeout server 5s"}
	}
	name, text := d.words[1], d.words[2]
	t, ok := parseTime(text)
	if !ok {
		return &LineError{Line: d.line, Subject: "timeout " + name, Problem: fmt.Sprintf("%q is not a time", text),
			Remedy: "write a whole number and us, ms, s, m, h or d"}
	}
	switch name {
	case "connect", "server":
		p.timeouts[name] = t
	case "http-keep-alive":
		im.report(d, "clients' idle connections are kept while sockets last")
	case "client", "queue", "http-request", "tunnel", "check", "client-fin", "server-fin", "tarpit":
		im.report(d, "a client's own deadline comes with its request (X-Timeout)")
	default:
		im.report(d, "no counterpart")
	}
	return nil
}

// retryOn reads which failures are retried. What HAProxy would repeat after a request
// may have run is here a property of the class: its semantics.
func (im *importer) retryOn(p *proxy, d directive) {
	for _, on := range d.words[1:] {
		switch on {
		case "conn-failure", "none":
		case "all-retryable-errors", "empty-response", "response-timeout", "junk-response":
			p.retriesAfterSend = true
		default:
			im.report(d, "on "+on+": a loan worker's error is repeated only by the class's semantics")
		}
	}
}

// bind reads the addresses that a frontend listens at: TCP addresses with one port each.
func (im *importer) bind(p *proxy, d directive) error {
	if len(d.words) < 2 {
		return &LineError{Line: d.line, Subject: "bind", Problem: "an address is missing", Remedy: "write it as bind 127.0.0.1:80"}
	}
	for part := range strings.SplitSeq(d.words[1], ",") {
		addr, ok := bindAddress(part)
		if !ok {
			im.report(d, "only TCP addresses with one port are served")
			continue
		}
		p.binds = append(p.binds, addr)
		if len(p.binds) == 2 {
			im.report(d, "one address is served; the first counts")
		}
	}
	if len(d.words) > 2 {
		im.report(directive{d.line, []string{"bind", d.words[2]}}, "options of an address have no counterpart; HTTP on plain TCP is served")
	}
	return nil
}

// bindAddress converts one address; false if it is none of TCP with one port.
func bindAddress(text string) (string, bool) {
	host, port, err := net.SplitHostPort(text)
	if err != nil || host == "unix" || host == "fd" || strings.HasPrefix(text, "/") {
		return "", false
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return "", false
	}
	host = strings.TrimPrefix(strings.TrimPrefix(host, "ipv4@"), "ipv6@")
	if host == "*" {
		host = ""
	}
	return net.JoinHostPort(host, port), true
}
