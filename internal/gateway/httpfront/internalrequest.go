package httpfront

// This file makes requests of the dispatcher's own, such as steps of workflows. They go over the same connections as
// clients' requests, and no client waits for them.

import (
	"net/http"
	"net/url"

	"yardflow/internal/gateway/broker"
	"yardflow/internal/gateway/config"
)

// InternalJob is a job that no client has asked for.
type InternalJob struct {
	ID             string
	IdempotencyKey string      // under which a class with deduplication drops retries; empty: none
	Class, Tenant  string      // of the configuration; an empty Tenant: none
	Body           []byte      // JSON
	MaySend        func() bool // asked just before the first byte of each attempt; nil: it always may
}

// NewInternalRequest makes a request of a job under a configuration that has its class. It sends nothing.
func NewInternalRequest(cfg *config.Config, j InternalJob, q broker.Request) *JobRequest {
	h := http.Header{"X-Priority-Class": {j.Class}, "Content-Type": {"application/json"}}
	if j.Tenant != "" {
		h.Set("X-Tenant-Id", j.Tenant)
	}
	if j.IdempotencyKey != "" {
		h.Set("Idempotency-Key", j.IdempotencyKey)
	}
	return &JobRequest{ID: j.ID, Request: q, cfg: cfg, method: http.MethodPost, uri: "/" + url.PathEscape(j.Class), host: cfg.Name,
		header: h, body: j.Body, maySend: j.MaySend}
}
