package configuration

import (
	"fmt"
	"strings"
)

// readConfiguration reads the members of the root object, and checks each entry on its own.
func readConfiguration(root object) (*Configuration, *InvalidError) {
	s := &section{members: root}
	c := &Configuration{Version: s.requiredInteger("Version"), Services: map[string]*Service{}}
	for i, entry := range s.requiredList("Services") {
		c.readService(s.entry("Services", i, entry))
	}
	for i, entry := range s.requiredList("Routes") {
		c.readRoute(s.entry("Routes", i, entry))
	}
	if limits, exists := s.members["Limits"]; exists {
		c.readLimits(s.object("Limits", limits))
	}
	if c.Version <= 0 {
		s.fail("Version", "must be above 0")
	}
	return c, s.invalid
}

func (c *Configuration) readService(s *section) {
	service := &Service{
		Name:       s.requiredString("Name"),
		HealthPath: s.optionalString("HealthPath"),
		MaxConns:   int(s.optionalInteger("MaxConns")),
		Guards:     s.optionalBool("Guards"),
	}
	if c.Services[service.Name] != nil {
		s.fail("Name", "appears twice")
	}
	c.Services[service.Name] = service
}

func (c *Configuration) readRoute(s *section) {
	route := Route{
		Name:            s.optionalString("Name"),
		Host:            strings.ToLower(s.requiredString("Host")),
		PathPrefix:      s.requiredString("PathPrefix"),
		Service:         s.requiredString("Service"),
		TimeoutMs:       s.requiredInteger("TimeoutMs"),
		TargetLatencyMs: s.optionalInteger("TargetLatencyMs"),
		Priority:        int(s.optionalInteger("Priority")),
		MaxAttempts:     int(s.optionalInteger("MaxAttempts")),
		Stretch:         s.optionalNumber("Stretch"),
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
		s.fail("", "has a number below 0")
	}
	c.Routes = append(c.Routes, route)
}

func (c *Configuration) readLimits(s *section) {
	c.Limits = Limits{
		MaxHeaderBytes:  s.optionalInteger("MaxHeaderBytes"),
		MaxBodyBytes:    s.optionalInteger("MaxBodyBytes"),
		HeaderTimeoutMs: s.optionalInteger("HeaderTimeoutMs"),
		IdleTimeoutMs:   s.optionalInteger("IdleTimeoutMs"),
	}
	if c.Limits.MaxHeaderBytes < 0 || c.Limits.MaxBodyBytes < 0 || c.Limits.HeaderTimeoutMs < 0 || c.Limits.IdleTimeoutMs < 0 {
		s.fail("", "has a number below 0")
	}
}

// check checks the rules that concern more than one entry: services exist, and routes differ in host or prefix.
func (c *Configuration) check() *InvalidError {
	type location struct{ host, prefix string }
	seen := map[location]bool{}
	for i := range c.Routes {
		route := &c.Routes[i]
		path := fmt.Sprintf("Routes[%d]", i)
		if c.Services[route.Service] == nil {
			return &InvalidError{path + ".Service", "names an unknown service"}
		}
		at := location{route.Host, route.PathPrefix}
		if seen[at] {
			return &InvalidError{path, "shares host and prefix with another route"}
		}
		seen[at] = true
	}
	return nil
}
