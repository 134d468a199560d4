package haproxy

import (
	"net"
	"slices"
	"strconv"
	"strings"
)

// server is a server of a backend.
type server struct {
	name, addr      string
	weight, maxconn float64
	disabled        bool
	backup          bool
	zeroWeight      bool   // it gets nothing new
	incompatible    string // why the dispatcher can't talk to it; empty: it can
}

func (im *importer) server(p *proxy, d directive) error {
	if len(d.words) < 3 {
		return &LineError{Line: d.line, Subject: "server", Problem: "its name or address is missing", Remedy: "write it as server NAME 10.0.0.1:80"}
	}
	addr, ok := serverAddress(d.words[2])
	if !ok {
		im.report(d, "left out: an address and a port are needed")
		return nil
	}
	s := p.defaultServer
	s.name, s.addr = d.words[1], addr
	if slices.ContainsFunc(p.servers, func(o server) bool { return o.name == s.name }) {
		return &LineError{Line: d.line, Subject: "server " + s.name, Problem: "the name comes twice", Remedy: "give each server of a backend a name of its own"}
	}
	if err := im.serverParams(&s, d, d.words[3:]); err != nil {
		return err
	}
	if s.incompatible != "" {
		// Imported all the same, jobs would go out in plain text, or to a server that
		// reads them as something else.
		im.report(d, "left out: "+s.incompatible)
		return nil
	}
	p.servers = append(p.servers, s)
	return nil
}

// serverAddress reads a server's address; false if it is not one TCP port at a host.
func serverAddress(text string) (string, bool) {
	text = strings.TrimPrefix(strings.TrimPrefix(text, "ipv4@"), "ipv6@")
	host, port, err := net.SplitHostPort(text)
	if err != nil || host == "" || strings.Contains(host, "@") {
		return "", false
	}
	n, err := strconv.ParseUint(port, 10, 16) // "+5" and ranges map the client's port
	return text, err == nil && n > 0
}

// Parameters of a server that have no counterpart here (HAProxy's configuration manual,
// 5.2, up to 3.3): those that take a value, and those that do not. Which is which has
// to be known to find the next parameter.
var (
	paramsWithValue = wordSet(`addr agent-addr agent-inter agent-port agent-send alpn ca-file cc check-alpn check-pool-conn-name
	check-proto check-sni ciphers ciphersuites client-sigalgs cookie crl-file crt curves downinter error-limit fall
	fastinter guid hash-key healthcheck id idle-ping init-addr init-state inter interface ktls log-bufsize log-proto
	max-reuse maxqueue minconn namespace npn observe on-error on-marked-down on-marked-up pool-conn-name pool-low-conn
	pool-max-conn pool-purge-delay port proxy-v2-options redir resolve-net resolve-opts resolve-prefer resolvers rise
	shard sigalgs slowstart sni source ssl-max-ver ssl-min-ver tcp-md5sig tcp-ut track usesrc verify verifyhost ws`)

	paramsWithoutValue = wordSet(`agent-check allow-0rtt check check-reuse-pool check-send-proxy check-sni-auto check-ssl
	check-via-socks4 force-sslv3 force-tlsv10 force-tlsv11 force-tlsv12 force-tlsv13 no-agent-check no-allow-0rtt
	no-check no-check-reuse-pool no-check-send-proxy no-check-sni-auto no-check-ssl no-renegotiate no-sni-auto
	no-ssl-reuse no-sslv3 no-strict-maxconn no-tfo no-tls-tickets no-tlsv10 no-tlsv11 no-tlsv12 no-tlsv13 no-verifyhost
	non-stick renegotiate sni-auto ssl-reuse stick strict-maxconn tfo tls-tickets`)
)

// Reasons why the dispatcher can't talk to a server.
const (
	overTLS   = "it is spoken to over TLS, and loan workers are reached in plain text here"
	overProxy = "it expects the PROXY protocol"
	overSOCKS = "it is reached through a SOCKS proxy"
)

// serverParams applies the parameters behind a server's address, or of default-server.
func (im *importer) serverParams(s *server, d directive, params []string) error {
	for i := 0; i < len(params); {
		used, err := im.serverParam(s, d, params[i:])
		if err != nil {
			return err
		}
		i += used
	}
	return nil
}

// serverParam applies the first of params, and returns how many words it takes.
func (im *importer) serverParam(s *server, d directive, params []string) (used int, err error) {
	name := params[0]
	part := directive{d.line, []string{d.words[0], name}}
	switch name {
	case "weight", "maxconn":
		return 2, im.serverSize(s, part, params)
	case "disabled":
		s.disabled = true
	case "enabled":
		s.disabled = false
	case "backup":
		s.backup = true
		im.report(part, "of worse priority: used while no other server of the backend can serve; several are used together")
	case "no-backup":
		s.backup = false
	case "ssl":
		s.incompatible = overTLS
	case "send-proxy", "send-proxy-v2", "send-proxy-v2-ssl", "send-proxy-v2-ssl-cn":
		s.incompatible = overProxy
	case "no-ssl", "no-send-proxy", "no-send-proxy-v2", "no-send-proxy-v2-ssl", "no-send-proxy-v2-ssl-cn":
		if (name == "no-ssl") == (s.incompatible == overTLS) {
			s.incompatible = ""
		}
	case "socks4", "proto":
		if len(params) == 1 {
			return 0, missingValue(d, name)
		}
		if name == "socks4" {
			s.incompatible = overSOCKS
		} else if params[1] != "h1" {
			s.incompatible = "it speaks " + params[1] + ", and loan workers are spoken to in HTTP/1.1 here"
		}
		return 2, nil
	default:
		return im.otherParam(part, params)
	}
	return 1, nil
}

// serverSize reads weight or maxconn, which both stand for a server's relative size.
func (im *importer) serverSize(s *server, part directive, params []string) error {
	n, err := integerArgument(directive{part.line, params}, 0)
	if err != nil {
		return err
	}
	if params[0] == "maxconn" {
		s.maxconn = float64(n)
		im.report(part, "taken as the relative size; the bound itself is learned")
		return nil
	}
	s.weight, s.zeroWeight = float64(n), n == 0
	if s.zeroWeight {
		im.report(part, "of 0: gets nothing new, as if it drained")
	}
	return nil
}

func missingValue(d directive, param string) error {
	return &LineError{Line: d.line, Subject: param, Problem: "its value is missing", Remedy: "write its value behind it, or leave the parameter out"}
}

// otherParam reports a parameter without a counterpart, and returns how many words it takes.
func (im *importer) otherParam(part directive, params []string) (used int, err error) {
	name := params[0]
	hasValue := paramsWithValue[name] || strings.HasPrefix(name, "set-proxy-v2-tlv-fmt")
	switch {
	case hasValue && len(params) == 1:
		return 0, missingValue(part, name)
	case hasValue:
		im.report(part, "no counterpart for this parameter")
		return 2, nil
	case paramsWithoutValue[name]:
		im.report(part, "no counterpart for this parameter")
	default:
		im.report(part, "not a parameter of a server that is known here; taken as one without a value")
	}
	return 1, nil
}
