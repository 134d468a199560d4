package dispatcher

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"reflect"
	"slices"
	"sync/atomic"
	"time"

	"yardflow/internal/control/statemachine"
	"yardflow/scheduling/job"
)

// Bounds of reading the platform's list.
const (
	readEvery  = time.Second
	readWithin = 900 * time.Millisecond
	maxPage    = 16 << 20
	maxPages   = 1000
)

// reader reads the platform's list of workers while this dispatcher is the one to do so: the one with
// the first session.
type reader struct {
	dispatcher *Dispatcher
	client     *http.Client
	busy       bool
	readAt     time.Duration
	readings   uint64 // lists reported
	absences   absences
	stopped    atomic.Bool
}

func newReader(d *Dispatcher) *reader {
	return &reader{dispatcher: d, readAt: -readEvery,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true,
			DialContext: func(_ context.Context, _, address string) (net.Conn, error) {
				return d.network.Dial(address, readWithin)
			}}}}
}

// instanceEntry is a worker in the platform's list.
type instanceEntry struct {
	Id          string
	Service     string
	Address     string
	Zone        string
	State       string
	Capacity    job.Resources
	Labels      []string
	RemainingMs int64
}

type instancePage struct {
	Instances []instanceEntry
	NextToken *string
}

func (r *reader) isReader() bool {
	d := r.dispatcher
	return d.uplink.attached && len(d.sessions) > 0 && d.sessions[0] == d.uplink.session && !d.stopping.Load()
}

func (r *reader) tick(now time.Duration) {
	if !r.isReader() {
		r.absences.begin()
		return
	}
	if r.busy || now-r.readAt < readEvery {
		return
	}
	r.busy, r.readAt = true, now
	go func() {
		list, complete := r.read()
		r.dispatcher.do(func() {
			r.busy = false
			if complete && r.isReader() {
				r.report(list)
			}
		})
	}()
}

// read reads all pages; it reports whether all of them came.
func (r *reader) read() ([]instanceEntry, bool) {
	var list []instanceEntry
	token := ""
	for range maxPages {
		page, ok := r.page(token)
		if !ok {
			return nil, false
		}
		list = append(list, page.Instances...)
		if page.NextToken == nil || *page.NextToken == "" {
			return list, true
		}
		token = *page.NextToken
	}
	return nil, false
}

func (r *reader) page(token string) (*instancePage, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), readWithin)
	defer cancel()
	address := "http://" + r.dispatcher.settings.Cloud.Address + "/instances"
	if token != "" {
		address += "?PageToken=" + url.QueryEscape(token)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, false
	}
	response, err := r.client.Do(request)
	if err != nil {
		r.client.CloseIdleConnections()
		return nil, false
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxPage))
	page := &instancePage{}
	if err != nil || response.StatusCode != http.StatusOK || json.Unmarshal(text, page) != nil {
		return nil, false
	}
	return page, true
}

// report brings what has changed to the control machines.
func (r *reader) report(list []instanceEntry) {
	d := r.dispatcher
	command := &statemachine.InstancesChanged{Reader: d.uplink.session}
	listed := map[string]bool{}
	for i := range list {
		entry := &list[i]
		listed[entry.Id] = true
		instance := statemachine.Instance{ID: entry.Id, Service: entry.Service, Address: entry.Address, Zone: entry.Zone,
			Labels: entry.Labels, Capacity: entry.Capacity, Draining: entry.State == "draining"}
		if instance.Draining {
			instance.RemainingMs = entry.RemainingMs
		}
		known := d.workers[entry.Id]
		if known == nil || known.Unlisted || !same(&known.Instance, &instance) {
			command.Changed = append(command.Changed, instance)
		}
	}
	for _, id := range r.absences.read(listed, slices.Sorted(maps.Keys(d.workers))) {
		if !d.workers[id].Unlisted {
			command.Removed = append(command.Removed, id)
		}
	}
	if len(command.Changed)+len(command.Removed) > 0 {
		r.readings++
		d.logger.Info().Uint64("reading", r.readings).Int("listed", len(list)).Strs("changed", changedIDs(command)).
			Strs("gone", command.Removed).Msg("list read")
		command.Sequence = r.readings
		d.uplink.submit(&statemachine.Command{InstancesChanged: command}, func(statemachine.Result) {})
	}
}

func changedIDs(command *statemachine.InstancesChanged) []string {
	ids := make([]string, len(command.Changed))
	for i := range command.Changed {
		ids[i] = command.Changed[i].ID
	}
	return ids
}

// same reports whether the state already says what the list says. One that drains stays so.
func same(known, read *statemachine.Instance) bool {
	return known.Service == read.Service && known.Address == read.Address && known.Zone == read.Zone &&
		known.Capacity == read.Capacity && (known.Draining || !read.Draining) &&
		(len(known.Labels) == 0 && len(read.Labels) == 0 || reflect.DeepEqual(known.Labels, read.Labels))
}
