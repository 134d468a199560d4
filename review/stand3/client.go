//go:build review

package main

import (
	"net/http"
	"strings"
)

// handIn hands a job in at a dispatcher and reports whether it was accepted.
func (c *cluster) handIn(front *node, q queue, id, body string) bool {
	status, text := c.call(http.MethodPost, front.listen, routeHost, q.prefix+id, body, "Yardflow-Deadline-Remaining", "3000")
	c.record.printf("client: POST %s%s at %s: %d %s", q.prefix, id, front.name, status, strings.TrimSpace(text))
	return status == http.StatusOK
}

// state asks a dispatcher for the state of a job, "" if there is none.
func (c *cluster) state(front *node, q queue, id string) string {
	status, text := c.call(http.MethodGet, front.listen, routeHost, q.prefix+id, "")
	c.record.printf("client: GET %s%s at %s: %d %s", q.prefix, id, front.name, status, strings.TrimSpace(text))
	if status != http.StatusOK {
		return ""
	}
	return strings.TrimSuffix(strings.TrimPrefix(text, `{"State":"`), `"}`)
}
