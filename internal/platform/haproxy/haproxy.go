// Package haproxy imports a configuration in HAProxy's format: what it says of
// frontends, backends, servers, timeouts and maxconn becomes a configuration of
// ours, and every directive that does not carry over is reported by its line.
//
// It must never guess in silence: a directive is carried over, is known to need
// no counterpart here, or is reported. It must never start anything.
package haproxy

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Diagnostic is a directive that did not carry over, or not wholly.
type Diagnostic struct {
	Line      int
	Directive string
	Reason    string
}

func (n Diagnostic) String() string {
	return fmt.Sprintf("line %d: %s: %s", n.Line, n.Directive, n.Reason)
}

// line is one directive with its words.
type line struct {
	n     int
	words []string
}

type section struct {
	kind, name string
	line       int
	body       []line
}

type server struct {
	name, addr      string
	weight, maxconn float64
	disabled        bool
	backup          bool
	resting         bool   // its weight is 0
	unlike          string // why it can't be spoken to as we speak; empty: it can
}

// proxy is a frontend, a backend or both, with the defaults it stands under.
type proxy struct {
	section
	timeouts map[string]time.Duration
	maxconn  int
	retries  int
	again    bool // retries what may have run
	binds    []string
	servers  []server
	base     server // default-server
	uses     string // default_backend
}

type importer struct {
	notes    []Diagnostic
	maxconn  int // global
	defaults proxy
	named    map[string]proxy
	proxies  []*proxy
}

// Import reads a configuration and returns ours as JSON, with what did not carry
// over. An error is a text that HAProxy would not take either.
func Import(r io.Reader) ([]byte, []Diagnostic, error) {
	sections, err := parse(r)
	if err != nil {
		return nil, nil, err
	}
	im := &importer{named: map[string]proxy{}}
	im.defaults.reset()
	for _, s := range sections {
		if err := im.section(s); err != nil {
			return nil, nil, err
		}
	}
	out, err := im.config()
	slices.SortStableFunc(im.notes, func(a, b Diagnostic) int { return a.Line - b.Line })
	return out, im.notes, err
}

func (p *proxy) reset() { p.timeouts, p.retries = map[string]time.Duration{}, 3 }

// parse splits the text into sections and words.
func parse(r io.Reader) ([]section, error) {
	var out []section
	in := bufio.NewScanner(r)
	in.Buffer(nil, 1<<20)
	for n := 1; in.Scan(); n++ {
		words, err := split(in.Text())
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		if len(words) == 0 {
			continue
		}
		switch words[0] {
		case "global", "defaults", "frontend", "backend", "listen", "peers", "resolvers", "userlist", "mailers",
			"program", "http-errors", "ring", "log-forward", "cache", "fcgi-app", "crt-store", "traces":
			s := section{kind: words[0], line: n}
			if len(words) > 1 {
				s.name = words[1]
			}
			if s.name == "" && (s.kind == "frontend" || s.kind == "backend" || s.kind == "listen") {
				return nil, fmt.Errorf("line %d: %s: a name is missing", n, s.kind)
			}
			if s.kind == "defaults" && len(words) > 3 && words[2] == "from" {
				s.body = append(s.body, line{n, words[2:4]})
			} else if len(words) > 2 {
				s.body = append(s.body, line{n, words[2:]})
			}
			out = append(out, s)
		default:
			if len(out) == 0 {
				return nil, fmt.Errorf("line %d: %s: outside any section", n, words[0])
			}
			last := &out[len(out)-1]
			last.body = append(last.body, line{n, words})
		}
	}
	return out, in.Err()
}

// split takes a line apart by HAProxy's rules of quoting.
func split(text string) ([]string, error) {
	var words []string
	var word strings.Builder
	open, quote := false, rune(0)
	runes := []rune(text)
	for i := 0; i < len(runes); i++ {
		c := runes[i]
		switch {
		case quote == '\'' && c != '\'', quote == '"' && c != '"' && c != '\\':
			word.WriteRune(c)
		case quote != 0 && c == quote:
			quote = 0
		case c == '\\':
			if i++; i == len(runes) {
				return nil, fmt.Errorf("a backslash ends the line")
			}
			word.WriteRune(runes[i])
			open = true
		case c == '"' || c == '\'':
			quote, open = c, true
		case c == '#':
			i = len(runes)
		case c == ' ' || c == '\t' || c == '\r':
			if open {
				words = append(words, word.String())
				word.Reset()
			}
			open = false
		default:
			word.WriteRune(c)
			open = true
		}
	}
	if quote != 0 {
		return nil, fmt.Errorf("a quote is not closed")
	}
	if open {
		words = append(words, word.String())
	}
	return words, nil
}

func (im *importer) note(l line, why string) {
	im.notes = append(im.notes, Diagnostic{l.n, strings.Join(l.words[:min(len(l.words), 2)], " "), why})
}

func (im *importer) section(s section) error {
	switch s.kind {
	case "global":
		for _, l := range s.body {
			if l.words[0] != "maxconn" {
				im.note(l, "process settings are the platform's")
				continue
			}
			var err error
			if im.maxconn, err = number(l, 1); err != nil {
				return err
			}
		}
		return nil
	case "defaults":
		d := proxy{section: s}
		d.reset()
		if len(s.body) > 0 && s.body[0].n == s.line && s.body[0].words[0] == "from" {
			from, ok := im.named[s.body[0].words[1]]
			if !ok {
				return fmt.Errorf("line %d: from: unknown defaults %q", s.line, s.body[0].words[1])
			}
			d, d.section = from.copy(), s
			d.body = d.body[1:]
		}
		if err := im.directives(&d); err != nil {
			return err
		}
		im.defaults = d
		if s.name != "" {
			im.named[s.name] = d
		}
		return nil
	case "frontend", "backend", "listen":
		p := im.defaults.copy()
		p.section = s
		if len(s.body) > 0 && s.body[0].n == s.line {
			if w := s.body[0].words; len(w) == 2 && w[0] == "from" {
				from, ok := im.named[w[1]]
				if !ok {
					return fmt.Errorf("line %d: from: unknown defaults %q", s.line, w[1])
				}
				p = from.copy()
				p.section = s
			} else {
				im.note(s.body[0], "not understood behind the section's name")
			}
			p.body = p.body[1:]
		}
		im.proxies = append(im.proxies, &p)
		return im.directives(&p)
	}
	im.note(line{s.line, []string{s.kind, s.name}}, "sections of this kind have no counterpart")
	return nil
}

func (p *proxy) copy() proxy {
	q := *p
	q.timeouts = make(map[string]time.Duration, len(p.timeouts))
	for k, v := range p.timeouts {
		q.timeouts[k] = v
	}
	q.binds, q.servers = nil, nil
	return q
}

// why tells of directives that are understood and have no place here.
var why = map[string]string{
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

func (im *importer) directives(p *proxy) error {
	for _, l := range p.body {
		w := l.words
		var err error
		switch w[0] {
		case "mode":
			if len(w) < 2 || w[1] != "http" {
				im.note(l, "only http is served")
			}
		case "timeout":
			err = im.timeout(p, l)
		case "maxconn":
			p.maxconn, err = number(l, 1)
		case "retries":
			p.retries, err = number(l, 0)
		case "retry-on":
			im.retryOn(p, l)
		case "bind":
			err = im.bind(p, l)
		case "default_backend":
			if len(w) < 2 {
				return fmt.Errorf("line %d: default_backend: a name is missing", l.n)
			}
			p.uses = w[1]
		case "default-server":
			err = im.params(&p.base, l, w[1:])
		case "server":
			err = im.server(p, l)
		case "option":
			if len(w) > 1 && (w[1] == "redispatch" || w[1] == "http-keep-alive") {
				continue // the way it is here
			}
			im.note(l, why["option"])
		default:
			text := why[w[0]]
			if text == "" {
				text = "no counterpart"
			}
			im.note(l, text)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func number(l line, least int) (int, error) {
	if len(l.words) < 2 {
		return 0, fmt.Errorf("line %d: %s: a number is missing", l.n, l.words[0])
	}
	n, err := strconv.Atoi(l.words[1])
	if err != nil || n < least {
		return 0, fmt.Errorf("line %d: %s: %q is not a number of %d or more", l.n, l.words[0], l.words[1], least)
	}
	return n, nil
}

var units = []struct {
	suffix string
	unit   time.Duration
}{{"us", time.Microsecond}, {"ms", time.Millisecond}, {"s", time.Second}, {"m", time.Minute},
	{"h", time.Hour}, {"d", 24 * time.Hour}, {"", time.Millisecond}}

func (im *importer) timeout(p *proxy, l line) error {
	if len(l.words) < 3 {
		return fmt.Errorf("line %d: timeout: its name or time is missing", l.n)
	}
	name, text := l.words[1], l.words[2]
	for _, u := range units {
		digits, ok := strings.CutSuffix(text, u.suffix)
		if n, err := strconv.ParseUint(digits, 10, 31); ok && err == nil {
			switch name {
			case "connect", "server":
				p.timeouts[name] = time.Duration(n) * u.unit
			case "http-keep-alive":
				im.note(l, "clients' idle connections are kept while sockets last")
			case "client", "queue", "http-request", "tunnel", "check", "client-fin", "server-fin", "tarpit":
				im.note(l, "a client's own deadline comes with its request (X-Timeout)")
			default:
				im.note(l, "no counterpart")
			}
			return nil
		}
	}
	return fmt.Errorf("line %d: timeout %s: %q is not a time", l.n, name, text)
}

// retryOn: what HAProxy would repeat after the request may have run is, here,
// said of the class.
func (im *importer) retryOn(p *proxy, l line) {
	for _, on := range l.words[1:] {
		switch on {
		case "conn-failure", "none":
		case "all-retryable-errors", "empty-response", "response-timeout", "junk-response":
			p.again = true
		default:
			im.note(l, "on "+on+": a loan worker's error is repeated only by the class's semantics")
		}
	}
}

func (im *importer) bind(p *proxy, l line) error {
	if len(l.words) < 2 {
		return fmt.Errorf("line %d: bind: an address is missing", l.n)
	}
	for part := range strings.SplitSeq(l.words[1], ",") {
		host, port, err := net.SplitHostPort(part)
		if err != nil || host == "unix" || host == "fd" || strings.HasPrefix(part, "/") {
			im.note(l, "only TCP addresses with one port are served")
			continue
		}
		if _, err := strconv.ParseUint(port, 10, 16); err != nil {
			im.note(l, "only TCP addresses with one port are served")
			continue
		}
		host = strings.TrimPrefix(strings.TrimPrefix(host, "ipv4@"), "ipv6@")
		if host == "*" {
			host = ""
		}
		p.binds = append(p.binds, net.JoinHostPort(host, port))
		if len(p.binds) == 2 {
			im.note(l, "one address is served; the first counts")
		}
	}
	if len(l.words) > 2 {
		im.note(line{l.n, []string{"bind", l.words[2]}}, "options of an address have no counterpart; HTTP on plain TCP is served")
	}
	return nil
}

func (im *importer) server(p *proxy, l line) error {
	if len(l.words) < 3 {
		return fmt.Errorf("line %d: server: its name or address is missing", l.n)
	}
	addr, ok := address(l.words[2])
	if !ok {
		im.note(l, "left out: an address and a port are needed")
		return nil
	}
	s := p.base
	s.name, s.addr = l.words[1], addr
	if slices.ContainsFunc(p.servers, func(o server) bool { return o.name == s.name }) {
		return fmt.Errorf("line %d: server %s: the name comes twice", l.n, s.name)
	}
	if err := im.params(&s, l, l.words[3:]); err != nil {
		return err
	}
	if s.unlike != "" {
		// Taken over without it, jobs would go out in plain text, or to a server that
		// reads them as something else.
		im.note(l, "left out: "+s.unlike)
		return nil
	}
	p.servers = append(p.servers, s)
	return nil
}

// address reads a server's address; only one TCP port at a host will do.
func address(text string) (string, bool) {
	text = strings.TrimPrefix(strings.TrimPrefix(text, "ipv4@"), "ipv6@")
	host, port, err := net.SplitHostPort(text)
	if err != nil || host == "" || strings.Contains(host, "@") {
		return "", false
	}
	n, err := strconv.ParseUint(port, 10, 16) // "+5" and ranges map the client's port
	return text, err == nil && n > 0
}

// HAProxy's parameters of a server (its configuration manual, 5.2, up to 3.3) that
// have no counterpart: those that take a value, and those that stand alone.
var valued = words(`addr agent-addr agent-inter agent-port agent-send alpn ca-file cc check-alpn check-pool-conn-name
	check-proto check-sni ciphers ciphersuites client-sigalgs cookie crl-file crt curves downinter error-limit fall
	fastinter guid hash-key healthcheck id idle-ping init-addr init-state inter interface ktls log-bufsize log-proto
	max-reuse maxqueue minconn namespace npn observe on-error on-marked-down on-marked-up pool-conn-name pool-low-conn
	pool-max-conn pool-purge-delay port proxy-v2-options redir resolve-net resolve-opts resolve-prefer resolvers rise
	shard sigalgs slowstart sni source ssl-max-ver ssl-min-ver tcp-md5sig tcp-ut track usesrc verify verifyhost ws`)

var alone = words(`agent-check allow-0rtt check check-reuse-pool check-send-proxy check-sni-auto check-ssl
	check-via-socks4 force-sslv3 force-tlsv10 force-tlsv11 force-tlsv12 force-tlsv13 no-agent-check no-allow-0rtt
	no-check no-check-reuse-pool no-check-send-proxy no-check-sni-auto no-check-ssl no-renegotiate no-sni-auto
	no-ssl-reuse no-sslv3 no-strict-maxconn no-tfo no-tls-tickets no-tlsv10 no-tlsv11 no-tlsv12 no-tlsv13 no-verifyhost
	non-stick renegotiate sni-auto ssl-reuse stick strict-maxconn tfo tls-tickets`)

func words(text string) map[string]bool {
	out := map[string]bool{}
	for _, w := range strings.Fields(text) {
		out[w] = true
	}
	return out
}

const (
	overTLS   = "it is spoken to over TLS, and loan workers are reached in plain text here"
	overProxy = "it expects the PROXY protocol"
	overSOCKS = "it is reached through a SOCKS proxy"
)

func (im *importer) params(s *server, l line, words []string) error {
	for i := 0; i < len(words); i++ {
		part := line{l.n, []string{l.words[0], words[i]}}
		switch name := words[i]; name {
		case "weight", "maxconn":
			n, err := number(line{l.n, words[i:]}, 0)
			if err != nil {
				return err
			}
			if i++; name == "weight" {
				s.weight, s.resting = float64(n), n == 0
				if s.resting {
					im.note(part, "of 0: gets nothing new, as if it drained")
				}
			} else {
				s.maxconn = float64(n)
				im.note(part, "taken as the relative size; the bound itself is learned")
			}
		case "disabled":
			s.disabled = true
		case "enabled":
			s.disabled = false
		case "backup":
			s.backup = true
			im.note(part, "of worse priority: used while no other server of the backend can serve; several are used together")
		case "no-backup":
			s.backup = false
		case "ssl":
			s.unlike = overTLS
		case "send-proxy", "send-proxy-v2", "send-proxy-v2-ssl", "send-proxy-v2-ssl-cn":
			s.unlike = overProxy
		case "no-ssl", "no-send-proxy", "no-send-proxy-v2", "no-send-proxy-v2-ssl", "no-send-proxy-v2-ssl-cn":
			if (name == "no-ssl") == (s.unlike == overTLS) {
				s.unlike = ""
			}
		case "socks4", "proto":
			if i++; i == len(words) {
				return fmt.Errorf("line %d: %s: its value is missing", l.n, name)
			}
			if name == "socks4" {
				s.unlike = overSOCKS
			} else if words[i] != "h1" {
				s.unlike = "it speaks " + words[i] + ", and loan workers are spoken to in HTTP/1.1 here"
			}
		default:
			takes := valued[name] || strings.HasPrefix(name, "set-proxy-v2-tlv-fmt")
			switch {
			case takes && i+1 == len(words):
				return fmt.Errorf("line %d: %s: its value is missing", l.n, name)
			case takes:
				i++
				im.note(part, "no counterpart for this parameter")
			case alone[name]:
				im.note(part, "no counterpart for this parameter")
			default:
				im.note(part, "not a parameter of a server that is known here; taken as one without a value")
			}
		}
	}
	return nil
}

type object = map[string]any

// config words what was read as our configuration. A backend is a class, and
// its servers are a kind of machine of their own: that class runs there alone.
func (im *importer) config() ([]byte, error) {
	var classes, instances []object
	var kinds []string
	var kind []int
	var stretch, priority []float64
	connect, attempts, sockets := time.Duration(0), 1, 0
	listen := ""
	for _, p := range im.proxies {
		head := line{p.line, []string{p.kind, p.name}}
		if p.kind != "backend" {
			switch {
			case len(p.binds) == 0:
				im.note(head, "it binds no address that can be served")
			case listen != "":
				im.note(head, "one frontend is served; the first counts")
			default:
				listen = p.binds[0]
				// A client's socket, one to a worker, and the reserve.
				sockets = max(sockets, p.maxconn)
			}
			if p.uses != "" && !slices.ContainsFunc(im.proxies, func(o *proxy) bool { return o.kind != "frontend" && o.name == p.uses }) {
				return nil, fmt.Errorf("line %d: %s %s: unknown default_backend %q", p.line, p.kind, p.name, p.uses)
			}
			if p.kind == "frontend" {
				continue
			}
		}
		if len(p.servers) == 0 {
			im.note(head, "left out: it has no server that carries over")
			continue
		}
		deadline := p.timeouts["server"]
		if deadline == 0 {
			deadline = 30 * time.Second
			im.note(head, "no timeout server: 30 s are taken as the deadline")
		}
		connect = max(connect, p.timeouts["connect"])
		attempts = max(attempts, p.retries+1)
		semantics := "fragile"
		if p.again {
			semantics = "retryable"
		}
		classes = append(classes, object{"Name": p.name, "Semantics": semantics, "DeadlineMs": deadline.Milliseconds(),
			"AimMs": deadline.Milliseconds(), "Worth": 1, "LateShare": 0})
		kind, stretch, priority = append(kind, len(kinds)), append(stretch, 0), append(priority, 0)
		kinds = append(kinds, p.name)
		bySize := !slices.ContainsFunc(p.servers, func(s server) bool { return s.maxconn == 0 })
		for _, s := range p.servers {
			weight := s.weight
			if bySize {
				weight = s.maxconn
			}
			state := "SERVING"
			if s.disabled || s.resting {
				state = "DRAINING"
			}
			instance := object{"instanceId": p.name + "/" + s.name, "hostPort": s.addr, "zone": "local",
				"machineType": p.name, "cell": 0, "lifecycle": state, "weight": max(weight, 1), "startedAtMs": 0}
			if s.backup {
				instance["priority"] = 1
			}
			instances = append(instances, instance)
		}
	}
	if listen == "" {
		return nil, fmt.Errorf("no frontend binds an address that can be served")
	}
	if len(classes) == 0 {
		return nil, fmt.Errorf("no backend has a server")
	}
	if im.maxconn > 0 && (sockets == 0 || im.maxconn < sockets) {
		sockets = im.maxconn
	}
	limits := object{}
	if sockets > 0 {
		limits["sockets"] = max(2*sockets+64, 64)
	}
	reach := object{"MaxAttempts": attempts, "Cancelling": true, "RetryAfter": true, "MaxRetryAfterMs": 2000}
	if connect > 0 {
		reach["ConnectTimeoutMs"] = connect.Milliseconds()
	}
	return json.MarshalIndent(object{"name": "imported", "listen": listen, "limits": limits,
		"known": object{"generation": 0, "reset": true, "instances": instances},
		"settings": object{"Areas": []string{"local"}, "HostTypes": kinds, "Zone": 0, "Balancers": 1, "MyNumber": 0,
			"RegistryMode": "fixed", "RoundMs": 2, "CountedBy": "request", "Classes": classes, "Limits": reach,
			"Extra":    object{"ClassKind": kind, "ClassStretch": stretch, "ClassPriority": priority, "TellsStart": false, "QueueOrder": "fifo"},
			"LoadInfo": object{"Via": "off"},
			"Rules":    object{"StopSendingWithinMs": 500, "AskWithinMs": 10000, "ColdFrom": 1, "FallMultiple": 4, "FallMs": 2000, "AnswerSlackMs": 8}},
	}, "", " ")
}
