// Package configuration parses and validates the operator's configuration: routes, services and limits. Control machines
// use it to validate a configuration that an operator sends, and dispatchers use it to read the one in force.
//
// It has its own JSON parser, since encoding/json accepts duplicate keys, which must be rejected, and does not report the
// path of an invalid value. Unknown keys are skipped, so that a later version's configuration can be read. The package has
// no I/O. It does not compare a version with the one in force; the state machine does.
package configuration

import (
	"slices"
	"strings"
)

// Configuration is a complete and valid configuration. It is immutable.
type Configuration struct {
	Version  int64   // above 0
	Routes   []Route // sorted by descending length of the path prefix
	Services map[string]*Service
	Limits   Limits
}

// Route is a queue: it specifies the host and path at which its jobs are submitted, and how they are scheduled.
type Route struct {
	Name       string
	Host       string // in lower case
	PathPrefix string // begins with /; it is followed by a job's ID
	Service    string // name of the service whose workers run the tasks
	TimeoutMs  int64  // above 0
	// TargetLatencyMs and Stretch are the latency objective of a job: TargetLatencyMs plus Stretch times its critical path,
	// the longest chain of its steps by the client's estimates.
	TargetLatencyMs int64
	Stretch         float64
	Priority        int // 0 is the highest priority
	MaxAttempts     int // number of failed runs of a task or gang after which its job fails; at least 1
}

// Key identifies the route by the host and path prefix at which its jobs are submitted.
func (r *Route) Key() string { return r.Host + r.PathPrefix }

// Service is a set of workers that run the same tasks.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int
	// Guards is set if the workers reject tasks that exceed their capacity. The state machine does not rely on it.
	Guards bool
}

// Limits are the limits of clients' requests; 0 means unlimited.
type Limits struct {
	MaxHeaderBytes  int64
	MaxBodyBytes    int64
	HeaderTimeoutMs int64
	IdleTimeoutMs   int64
}

// InvalidError is the reason why a configuration can't be put in force. An operator gets its text with status 400 and can
// correct the value at Path; the configuration in force is unchanged.
type InvalidError struct {
	Path    string // of the value, such as Routes[1].Service, or body if the text is not a JSON object
	Problem string // why the value is invalid
}

func (e *InvalidError) Error() string { return e.Path + ": " + e.Problem }

// Parse parses and validates a whole configuration. It returns either a configuration or the first problem that it finds.
func Parse(body []byte) (*Configuration, *InvalidError) {
	value, err := parseJSON(body)
	if err != nil {
		return nil, &InvalidError{"body", err.Error()}
	}
	root, isObject := value.(object)
	if !isObject {
		return nil, &InvalidError{"body", "is not an object"}
	}
	c, invalid := readConfiguration(root)
	if invalid != nil {
		return nil, invalid
	}
	if invalid := c.check(); invalid != nil {
		return nil, invalid
	}
	slices.SortStableFunc(c.Routes, func(a, b Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	return c, nil
}

// FindRoute returns the route of a host with the longest prefix of a path, or nil if there is none.
func (c *Configuration) FindRoute(host, path string) *Route {
	for i := range c.Routes {
		route := &c.Routes[i]
		if route.Host == host && strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}
