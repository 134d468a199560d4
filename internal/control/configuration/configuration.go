// Package configuration reads and checks the operator's configuration: routes,
// services and limits. It reads JSON by itself, so that each fault is named by
// the place where it stands. It has no I/O.
package configuration

import (
	"fmt"
	"math"
	"sort"
	"strings"
)

// Route is a queue: where its jobs come in and how they are run.
type Route struct {
	Name            string
	Host            string
	PathPrefix      string
	Service         string
	TimeoutMs       int64
	TargetLatencyMs int64
	Priority        int
	MaxAttempts     int
	Stretch         float64
}

// Key names the route by the place at which its jobs come in.
func (r *Route) Key() string { return r.Host + r.PathPrefix }

// Service is a set of workers that run the same tasks.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int
	Guards     bool
}

// Limits bound what clients may send; 0 means unlimited.
type Limits struct {
	MaxHeaderBytes  int64
	MaxBodyBytes    int64
	HeaderTimeoutMs int64
	IdleTimeoutMs   int64
}

// Configuration is a whole configuration, checked.
type Configuration struct {
	Version  int64
	Routes   []Route // by falling length of the prefix
	Services map[string]*Service
	Limits   Limits
}

// InvalidError says why a configuration can't be put in force.
type InvalidError struct {
	Path    string // the key, as a path
	Problem string
}

// Error names the place and the fault.
func (f *InvalidError) Error() string { return f.Path + ": " + f.Problem }

// Parse reads and checks a whole configuration.
func Parse(body []byte) (*Configuration, *InvalidError) {
	root, fault := readJSON(body)
	if fault != "" {
		return nil, &InvalidError{"body", fault}
	}
	top, isObject := root.(*object)
	if !isObject {
		return nil, &InvalidError{"body", "is not an object"}
	}
	s := &section{where: "", object: top}
	c := &Configuration{Version: s.whole("Version", true), Services: map[string]*Service{}}
	for i, entry := range s.list("Services") {
		c.readService(s.under("Services", i, entry))
	}
	for i, entry := range s.list("Routes") {
		c.readRoute(s.under("Routes", i, entry))
	}
	c.readLimits(s)
	if s.fault == nil && c.Version <= 0 {
		s.fail("Version", "must be above 0")
	}
	if s.fault != nil {
		return nil, s.fault
	}
	if fault := c.check(); fault != nil {
		return nil, fault
	}
	sort.SliceStable(c.Routes, func(i, j int) bool {
		return len(c.Routes[i].PathPrefix) > len(c.Routes[j].PathPrefix)
	})
	return c, nil
}

func (c *Configuration) readService(s *section) {
	service := &Service{
		Name:       s.text("Name", true),
		HealthPath: s.text("HealthPath", false),
		MaxConns:   int(s.whole("MaxConns", false)),
		Guards:     s.truth("Guards"),
	}
	if c.Services[service.Name] != nil {
		s.fail("Name", "stands twice")
	}
	c.Services[service.Name] = service
}

func (c *Configuration) readRoute(s *section) {
	route := Route{
		Name:            s.text("Name", false),
		Host:            strings.ToLower(s.text("Host", true)),
		PathPrefix:      s.text("PathPrefix", true),
		Service:         s.text("Service", true),
		TimeoutMs:       s.whole("TimeoutMs", true),
		TargetLatencyMs: s.whole("TargetLatencyMs", false),
		Priority:        int(s.whole("Priority", false)),
		MaxAttempts:     int(s.whole("MaxAttempts", false)),
		Stretch:         s.number("Stretch"),
	}
	if route.MaxAttempts == 0 {
		route.MaxAttempts = 1
	}
	if !strings.HasPrefix(route.PathPrefix, "/") {
		s.fail("PathPrefix", "must begin with /")
	}
	if route.TimeoutMs <= 0 {
		s.fail("TimeoutMs", "must be above 0")
	}
	if route.MaxAttempts < 0 || route.Stretch < 0 || route.TargetLatencyMs < 0 {
		s.fail("", "has a figure below 0")
	}
	c.Routes = append(c.Routes, route)
}

func (c *Configuration) readLimits(s *section) {
	raw, stands := s.object.members["Limits"]
	if !stands {
		return
	}
	limits := s.under("Limits", -1, raw)
	c.Limits = Limits{
		MaxHeaderBytes:  limits.whole("MaxHeaderBytes", false),
		MaxBodyBytes:    limits.whole("MaxBodyBytes", false),
		HeaderTimeoutMs: limits.whole("HeaderTimeoutMs", false),
		IdleTimeoutMs:   limits.whole("IdleTimeoutMs", false),
	}
	if c.Limits.MaxHeaderBytes < 0 || c.Limits.MaxBodyBytes < 0 || c.Limits.HeaderTimeoutMs < 0 || c.Limits.IdleTimeoutMs < 0 {
		limits.fail("", "has a figure below 0")
	}
}

func (c *Configuration) check() *InvalidError {
	seen := map[string]bool{}
	for i := range c.Routes {
		route := &c.Routes[i]
		where := fmt.Sprintf("Routes[%d]", i)
		if c.Services[route.Service] == nil {
			return &InvalidError{where + ".Service", "names an unknown service"}
		}
		place := route.Host + " " + route.PathPrefix
		if seen[place] {
			return &InvalidError{where, "shares host and prefix with another route"}
		}
		seen[place] = true
	}
	return nil
}

// FindRoute returns the route with the longest prefix of the path at the host, or nil.
func (c *Configuration) FindRoute(host, path string) *Route {
	for i := range c.Routes {
		route := &c.Routes[i]
		if route.Host == host && strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// section reads the members of one object and keeps the first fault of the whole text.
type section struct {
	where  string
	object *object
	parent *section
	fault  *InvalidError
}

func (s *section) fail(key, what string) {
	root := s
	for root.parent != nil {
		root = root.parent
	}
	if root.fault == nil {
		root.fault = &InvalidError{strings.TrimPrefix(strings.TrimSuffix(s.where+"."+key, "."), "."), what}
	}
}

// under returns the section of an entry; index is below 0 where the entry stands in no list.
func (s *section) under(key string, index int, entry value) *section {
	child := &section{where: key, parent: s}
	if index >= 0 {
		child.where = fmt.Sprintf("%s[%d]", key, index)
	}
	members, isObject := entry.(*object)
	if !isObject {
		child.fail("", "is not an object")
		members = &object{map[string]value{}}
	}
	child.object = members
	return child
}

func (s *section) list(key string) []value {
	raw, stands := s.object.members[key]
	if !stands {
		s.fail(key, "is missing")
		return nil
	}
	entries, isList := raw.([]value)
	if !isList {
		s.fail(key, "is not a list")
	}
	return entries
}

func (s *section) text(key string, needed bool) string {
	raw, stands := s.object.members[key]
	if !stands && !needed {
		return ""
	}
	text, isText := raw.(string)
	if !isText || needed && text == "" {
		s.fail(key, "must be a text")
	}
	return text
}

func (s *section) truth(key string) bool {
	raw, stands := s.object.members[key]
	if !stands {
		return false
	}
	truth, isTruth := raw.(bool)
	if !isTruth {
		s.fail(key, "must be true or false")
	}
	return truth
}

func (s *section) number(key string) float64 {
	raw, stands := s.object.members[key]
	if !stands {
		return 0
	}
	number, isNumber := raw.(float64)
	if !isNumber {
		s.fail(key, "must be a number")
	}
	return number
}

func (s *section) whole(key string, needed bool) int64 {
	if _, stands := s.object.members[key]; !stands {
		if needed {
			s.fail(key, "is missing")
		}
		return 0
	}
	number := s.number(key)
	if number != math.Trunc(number) || math.Abs(number) > 1<<53 {
		s.fail(key, "must be a whole number")
	}
	return int64(number)
}
