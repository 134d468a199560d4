package haproxy

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// object is a JSON object of the dispatcher's configuration. Its keys are those of the
// platform's file, which no type here repeats.
type object = map[string]any

const (
	// defaultDeadline is the deadline of a backend without "timeout server".
	defaultDeadline = 30 * time.Second
	// reservedSockets are the descriptors beside those of clients and workers.
	reservedSockets = 64
)

// output is the configuration under construction.
type output struct {
	listen             string
	sockets            int // clients of the frontend; 0: not stated
	attempts           int
	connectTimeout     time.Duration
	classes, instances []object
	kinds              []string // of machines, a kind for each class
	classKind          []int
	classStretch       []float64
	classPriority      []float64
}

// build makes the configuration of all that was read. A backend becomes a class, and its
// servers a kind of machine of their own, so that the class runs there alone.
func (im *importer) build() ([]byte, error) {
	out := &output{attempts: 1}
	for _, p := range im.proxies {
		if err := im.addProxy(out, p); err != nil {
			return nil, err
		}
	}
	if out.listen == "" {
		return nil, &NothingToServeError{"no frontend binds an address that can be served", "add a bind with a TCP address and one port to a frontend or listen section"}
	}
	if len(out.classes) == 0 {
		return nil, &NothingToServeError{"no backend has a server", "add a server to a backend or listen section"}
	}
	if im.maxconn > 0 && (out.sockets == 0 || im.maxconn < out.sockets) {
		out.sockets = im.maxconn
	}
	return out.marshal()
}

func (im *importer) addProxy(out *output, p *proxy) error {
	if p.kind != "backend" {
		im.addFrontend(out, p)
		if p.defaultBackend != "" && !slices.ContainsFunc(im.proxies, func(o *proxy) bool { return o.kind != "frontend" && o.name == p.defaultBackend }) {
			return &LineError{Line: p.line, Subject: p.kind + " " + p.name, Problem: fmt.Sprintf("unknown default_backend %q", p.defaultBackend),
				Remedy: "name a backend or listen section of this file"}
		}
	}
	if p.kind == "frontend" {
		return nil
	}
	if slices.Contains(out.kinds, p.name) {
		return &LineError{Line: p.line, Subject: p.kind + " " + p.name, Problem: "another backend has this name",
			Remedy: "rename one of the two: a backend's name becomes a class of requests"}
	}
	im.addBackend(out, p)
	return nil
}

func (im *importer) addFrontend(out *output, p *proxy) {
	switch head := p.head(); {
	case len(p.binds) == 0:
		im.report(head, "it binds no address that can be served")
	case out.listen != "":
		im.report(head, "one frontend is served; the first counts")
	default:
		out.listen = p.binds[0]
		out.sockets = max(out.sockets, p.maxconn)
	}
}

// head is the section's header as a directive, to report.
func (s *section) head() directive { return directive{s.line, []string{s.kind, s.name}} }

func (im *importer) addBackend(out *output, p *proxy) {
	if len(p.servers) == 0 {
		im.report(p.head(), "left out: it has no server that carries over")
		return
	}
	deadline := p.timeouts["server"]
	if deadline == 0 {
		deadline = defaultDeadline
		im.report(p.head(), "no timeout server: 30 s are taken as the deadline")
	}
	out.connectTimeout = max(out.connectTimeout, p.timeouts["connect"])
	out.attempts = max(out.attempts, p.retries+1)
	semantics := "fragile"
	if p.retriesAfterSend {
		semantics = "retryable"
	}
	out.classes = append(out.classes, object{"Name": p.name, "Semantics": semantics, "DeadlineMs": wholeMs(deadline),
		"AimMs": wholeMs(deadline), "Worth": 1, "LateShare": 0})
	out.classKind, out.classStretch, out.classPriority = append(out.classKind, len(out.kinds)), append(out.classStretch, 0), append(out.classPriority, 0)
	out.kinds = append(out.kinds, p.name)
	out.addServers(p)
}

// addServers adds a backend's servers as instances of its kind. Their weight is the
// relative size: maxconn, if all have one, which says more about the machine.
func (o *output) addServers(p *proxy) {
	byMaxconn := !slices.ContainsFunc(p.servers, func(s server) bool { return s.maxconn == 0 })
	for _, s := range p.servers {
		weight := s.weight
		if byMaxconn {
			weight = s.maxconn
		}
		state := "SERVING"
		if s.disabled || s.zeroWeight {
			state = "DRAINING"
		}
		instance := object{"instanceId": p.name + "/" + s.name, "hostPort": s.addr, "zone": "local",
			"machineType": p.name, "cell": 0, "lifecycle": state, "weight": max(weight, 1), "startedAtMs": 0}
		if s.backup {
			instance["priority"] = 1
		}
		o.instances = append(o.instances, instance)
	}
}

// wholeMs returns a time in whole milliseconds, rounded up: a shorter one than 1 ms is none to the dispatcher.
func wholeMs(t time.Duration) int64 {
	return int64((t + time.Millisecond - 1) / time.Millisecond)
}

func (o *output) marshal() ([]byte, error) {
	machine := object{}
	if o.sockets > 0 { // a client's socket, one to a worker, and the reserve
		machine["sockets"] = max(2*o.sockets+reservedSockets, reservedSockets)
	}
	limits := object{"MaxAttempts": o.attempts, "Cancelling": true, "RetryAfter": true, "MaxRetryAfterMs": 2000}
	if o.connectTimeout > 0 {
		limits["ConnectTimeoutMs"] = wholeMs(o.connectTimeout)
	}
	return json.MarshalIndent(object{"name": "imported", "listen": o.listen, "limits": machine,
		"known": object{"generation": 0, "reset": true, "instances": o.instances},
		"settings": object{"Areas": []string{"local"}, "HostTypes": o.kinds, "Zone": 0, "Balancers": 1, "MyNumber": 0,
			"RegistryMode": "fixed", "RoundMs": 2, "CountedBy": "request", "Classes": o.classes, "Limits": limits,
			"Extra":    object{"ClassKind": o.classKind, "ClassStretch": o.classStretch, "ClassPriority": o.classPriority, "TellsStart": false, "QueueOrder": "fifo"},
			"LoadInfo": object{"Via": "off"},
			"Rules":    object{"StopSendingWithinMs": 500, "AskWithinMs": 10000, "ColdFrom": 1, "FallMultiple": 4, "FallMs": 2000, "AnswerSlackMs": 8}},
	}, "", " ")
}
