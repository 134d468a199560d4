package platform

// This file owns the server table: the list of loan workers as discovery tells
// it, and the watch that keeps it fresh. The module says when to ask, and backs
// off when a call fails; nothing here asks on its own but to carry on a watch.
// It must never send anything to a loan worker or judge one.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"linnetlift"
	"linnetlift/internal/broker"
	"linnetlift/internal/config"
)

const (
	// watchWait is how long one watch call may wait. Discovery's word counts as
	// told 2 s after that wait ends, so a call lost without a sign must be given
	// up before then, and soon: the list is old meanwhile.
	watchWait  = 5 * time.Second
	watchSlack = 1500 * time.Millisecond
	maxList    = 8 << 20
)

// Table follows discovery.
type Table struct {
	cfg    *config.Config
	broker *broker.Broker
	client *http.Client
	log    func(string)

	generation uint64
	known      bool
}

type tableReply struct {
	Generation *uint64      `json:"generation"`
	Reset      bool         `json:"reset"`
	Instances  []tableEntry `json:"instances"`
}

type tableEntry struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs float64 `json:"startedAtMs"`
}

// NewTable makes the table and hands the broker the list last known.
func NewTable(cfg *config.Config, b *broker.Broker, log func(string)) (*Table, error) {
	t := &Table{cfg: cfg, broker: b, log: log, client: &http.Client{Transport: &http.Transport{
		DialContext:        (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableCompression: true, MaxIdleConnsPerHost: 2, IdleConnTimeout: 20 * time.Second,
	}}}
	var known tableReply
	if len(cfg.Known) > 0 {
		if err := json.Unmarshal(cfg.Known, &known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	if known.Generation != nil {
		t.generation, t.known = *known.Generation, true
	}
	b.List(linnetlift.ListCached, t.workers(known.Instances))
	return t, nil
}

// Run follows discovery until ctx ends. A watch goes on for as long as the next
// call comes within 200 ms of the last answer, so the next one is made at once.
func (t *Table) Run(ctx context.Context) {
	for t.broker.AwaitAsk(ctx) == nil {
		for {
			reply, err := t.call(ctx)
			if ctx.Err() != nil {
				return
			}
			if err != nil {
				t.log("server table: " + err.Error())
				t.broker.List(linnetlift.ListFailed, nil)
				break
			}
			form := linnetlift.ListDelta
			if reply.Reset {
				form = linnetlift.ListFull
			}
			t.generation, t.known = *reply.Generation, true
			t.broker.List(form, t.workers(reply.Instances))
		}
	}
}

func (t *Table) call(ctx context.Context) (*tableReply, error) {
	url, limit := "http://"+t.cfg.Discovery+"/v1/servers", 4*time.Second
	if t.known {
		url += fmt.Sprintf("?since=%d&timeout_ms=%d", t.generation, watchWait.Milliseconds())
		limit = watchWait + watchSlack
	}
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := t.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxList))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("discovery answers %d", resp.StatusCode)
	}
	var reply tableReply
	if err := json.Unmarshal(text, &reply); err != nil {
		return nil, err
	}
	if reply.Generation == nil {
		return nil, errors.New("a list without generation")
	}
	return &reply, nil
}

func (t *Table) workers(in []tableEntry) []broker.Worker {
	out := make([]broker.Worker, 0, len(in))
	for _, e := range in {
		if e.InstanceID == "" {
			continue
		}
		w := broker.Worker{ID: e.InstanceID, Addr: e.HostPort, Cell: e.Cell, Weight: e.Weight,
			Zone: slices.Index(t.cfg.Zones, e.Zone), Kind: slices.Index(t.cfg.Kinds, e.MachineType)}
		switch e.Lifecycle {
		case "SERVING":
			w.State = linnetlift.Ready
		case "DELETED":
			w.State = linnetlift.Gone
		default:
			w.State = linnetlift.Draining // an unknown state is not one to send to
		}
		if e.StartedAtMs > 0 {
			w.Started = time.UnixMicro(int64(e.StartedAtMs * 1000))
		}
		out = append(out, w)
	}
	return out
}
