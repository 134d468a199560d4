//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
)

// queue is a route of the configuration.
type queue struct {
	name, prefix, service string
	priority, latencyMs   int
	stretch               float64
}

// routeHost is the host of all routes.
const routeHost = "quiz.example"

// configBody returns a configuration in the form of PROTOCOL.md.
func configBody(version int, queues ...queue) string {
	routes, services, seen := []map[string]any{}, []map[string]any{}, map[string]bool{}
	for _, q := range queues {
		routes = append(routes, map[string]any{"Name": q.name, "Host": routeHost, "PathPrefix": q.prefix, "Kind": "unsafe",
			"TimeoutMs": 3000, "TargetLatencyMs": q.latencyMs, "Priority": q.priority, "Service": q.service, "MaxAttempts": 3,
			"Stretch": q.stretch})
		if !seen[q.service] {
			seen[q.service] = true
			services = append(services, map[string]any{"Name": q.service, "HealthPath": "/health", "MaxConns": 64,
				"Protocol": "h1", "Tls": false, "Guards": true})
		}
	}
	body, _ := json.Marshal(map[string]any{"Version": version, "Routes": routes, "Services": services,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}})
	return string(body)
}

// jobBody returns a job of one step with one task. Requires is the label that its worker must have, "" for none.
func jobBody(ms int64, cpu int64, requires string) string {
	step := map[string]any{"Count": 1, "Cpu": cpu, "MemMb": 256, "EstimateMs": ms}
	if requires != "" {
		step["Requires"] = requires
	}
	body, _ := json.Marshal(map[string]any{"Spec": fmt.Sprintf("ms=%d cpu=%d", ms, cpu), "Steps": []any{step}})
	return string(body)
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
