package httpfront

// This file owns jobs of our own making, such as steps of workflows: they go over the same
// connections as clients' requests, and no client waits for them. It must never send one.

import (
	"net/http"
	"net/url"

	"yardflow/internal/gateway/broker"
	"yardflow/internal/platform/config"
)

// Job is a job that no client has asked for.
type Job struct {
	ID, Key       string // Key: under which a keyed class drops repeats; empty: none
	Class, Tenant string // of the configuration
	Body          []byte
	May           func() bool // asked just before the first byte; nil: it always may
}

// NewJob makes a request of a job under a configuration that has its class.
func NewJob(cfg *config.Config, j Job, q broker.Request) *JobRequest {
	h := http.Header{"X-Priority-Class": {j.Class}, "Content-Type": {"application/json"}}
	if j.Tenant != "" {
		h.Set("X-Tenant-Id", j.Tenant)
	}
	if j.Key != "" {
		h.Set("Idempotency-Key", j.Key)
	}
	return &JobRequest{ID: j.ID, Request: q, cfg: cfg, method: http.MethodPost, uri: "/" + url.PathEscape(j.Class), host: cfg.Name, header: h, body: j.Body, may: j.May}
}
