// Package configuration reads and checks the operator's configuration: routes, services and limits. Control machines
// check with it what an operator sends, and dispatchers read with it what is in force.
//
// It reads JSON by itself since encoding/json accepts what must be rejected, a key that appears twice, and names no path
// for a value that is wrong. Keys that this version does not know are skipped, so that a later version's configuration
// can be read. The package has no I/O, and it does not check a version against the one in force: the state machine does.
package configuration

import (
	"slices"
	"strings"
)

// Configuration is a whole configuration that has passed all checks. It does not change once it is parsed.
type Configuration struct {
	Version  int64   // above 0
	Routes   []Route // by falling length of the path prefix
	Services map[string]*Service
	Limits   Limits
}

// Route is a queue: where its jobs are submitted, and how they are scheduled.
type Route struct {
	Name       string
	Host       string // in lower case
	PathPrefix string // begins with /; a job's ID follows it
	Service    string // whose workers run the tasks
	TimeoutMs  int64  // above 0
	// TargetLatencyMs and Stretch say by when a job is within its objective: it may take TargetLatencyMs beside Stretch
	// times the longest chain of its steps, by the client's estimates.
	TargetLatencyMs int64
	Stretch         float64
	Priority        int // 0 comes first
	MaxAttempts     int // runs of a task or gang that may fail before its job does; at least 1
}

// Key names the route by where its jobs are submitted: host and path prefix.
func (r *Route) Key() string { return r.Host + r.PathPrefix }

// Service is a set of workers that run the same tasks.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int
	// Guards says that the workers themselves reject what exceeds their capacity. The state machine never relies on it.
	Guards bool
}

// Limits bound what clients may send; 0 means unlimited.
type Limits struct {
	MaxHeaderBytes  int64
	MaxBodyBytes    int64
	HeaderTimeoutMs int64
	IdleTimeoutMs   int64
}

// InvalidError says why a configuration can't be put in force. An operator gets its text with status 400 and corrects
// what it names; nothing has changed.
type InvalidError struct {
	Path    string // the key, as in Routes[1].Service, or body where the text is no JSON object
	Problem string // what is wrong with its value
}

func (e *InvalidError) Error() string { return e.Path + ": " + e.Problem }

// Parse reads and checks a whole configuration. It returns either a configuration or the first problem that it meets.
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

// FindRoute returns the route at a host with the longest prefix of a path, or nil.
func (c *Configuration) FindRoute(host, path string) *Route {
	for i := range c.Routes {
		route := &c.Routes[i]
		if route.Host == host && strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}
