package dispatcher

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"reflect"
	"slices"
	"time"

	"github.com/juju/errors"

	"yardflow/internal/control/statemachine"
	"yardflow/scheduling/job"
)

// Bounds of reading the platform's list of instances.
const (
	readInterval = time.Second
	pageTimeout  = 900 * time.Millisecond
	maxPageBytes = 16 << 20
	maxPages     = 1000
	// slowReading is how long a reading may take before it is logged: what it brings may be as old, and reaches the owners
	// of workers only after it.
	slowReading = time.Second
)

// instanceReader reads the platform's list of workers, while this dispatcher is the one to do so: the one with the oldest
// open session. It belongs to the event loop; a reading has a goroutine of its own, at most one at a time.
type instanceReader struct {
	dispatcher *Dispatcher
	client     *http.Client
	reading    bool
	readAt     time.Duration
	reports    uint64 // sent to the control machines, which take them in by this order
	absences   absenceTracker
}

func newInstanceReader(d *Dispatcher) *instanceReader {
	return &instanceReader{dispatcher: d, readAt: -readInterval,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true,
			DialContext: func(_ context.Context, _, address string) (net.Conn, error) {
				return d.network.Dial(address, pageTimeout)
			}}}}
}

// instanceEntry is a worker in the platform's list.
type instanceEntry struct {
	ID          string        `json:"Id"`
	Service     string        `json:"Service"`
	Address     string        `json:"Address"`
	Zone        string        `json:"Zone"`
	State       string        `json:"State"`
	Capacity    job.Resources `json:"Capacity"`
	Labels      []string      `json:"Labels"`
	RemainingMs int64         `json:"RemainingMs"`
}

// instance returns the entry as the replicated state has it.
func (e *instanceEntry) instance() statemachine.Instance {
	instance := statemachine.Instance{ID: e.ID, Service: e.Service, Address: e.Address, Zone: e.Zone,
		Labels: e.Labels, Capacity: e.Capacity, Draining: e.State == "draining"}
	if instance.Draining {
		instance.RemainingMs = e.RemainingMs
	}
	return instance
}

type instancePage struct {
	Instances []instanceEntry `json:"Instances"`
	NextToken *string         `json:"NextToken"`
}

// isReader reports whether this dispatcher is the one to read the list.
func (r *instanceReader) isReader() bool {
	d := r.dispatcher
	return d.uplink.attached && len(d.sessions) > 0 && d.sessions[0] == d.uplink.session && !d.readiness.shuttingDown.Load()
}

// tick begins a reading where one is due.
func (r *instanceReader) tick(now time.Duration) {
	if !r.isReader() {
		r.absences.reset()
		return
	}
	if r.reading || now-r.readAt < readInterval {
		return
	}
	r.reading, r.readAt = true, now
	go func() {
		reading := r.read()
		r.dispatcher.post(func() {
			r.reading = false
			r.logReading(reading, r.dispatcher.now()-now)
			if reading.err == nil && r.isReader() {
				r.report(reading.entries)
			}
		})
	}()
}

// reading is what one pass over the list's pages has brought.
type reading struct {
	entries []instanceEntry
	pages   int
	err     error // set: not all pages came, and the entries don't count
}

// logReading logs a reading that failed or was slow: until the next one, workers that drain are given tasks.
func (r *instanceReader) logReading(reading reading, took time.Duration) {
	line := r.dispatcher.logger.Debug()
	if reading.err != nil || took > slowReading {
		line = r.dispatcher.logger.Warn()
	}
	line.Int("pages", reading.pages).Int("listed", len(reading.entries)).Dur("took_ms", took).Err(reading.err).
		Msg("instance list read")
}

// read reads all pages.
func (r *instanceReader) read() reading {
	result := reading{}
	token := ""
	for range maxPages {
		page, err := r.readPage(token)
		if err != nil {
			result.err = err
			return result
		}
		result.pages++
		result.entries = append(result.entries, page.Instances...)
		if page.NextToken == nil || *page.NextToken == "" {
			return result
		}
		token = *page.NextToken
	}
	result.err = &tooManyPagesError{Pages: maxPages}
	return result
}

func (r *instanceReader) readPage(token string) (*instancePage, error) {
	ctx, cancel := context.WithTimeout(context.Background(), pageTimeout)
	defer cancel()
	address := "http://" + r.dispatcher.settings.Cloud.Address + "/instances"
	if token != "" {
		address += "?PageToken=" + url.QueryEscape(token)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	response, err := r.client.Do(request)
	if err != nil {
		r.client.CloseIdleConnections()
		return nil, errors.Trace(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, &pageStatusError{Status: response.StatusCode}
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, maxPageBytes))
	if err != nil {
		return nil, errors.Trace(err)
	}
	page := &instancePage{}
	return page, errors.Trace(json.Unmarshal(text, page))
}

// pageStatusError says that the platform refused a page of its list.
type pageStatusError struct{ Status int }

// Error names the status, with the advice.
func (e *pageStatusError) Error() string {
	return fmt.Sprintf("the platform's list answers %d; %s", e.Status, e.Advice())
}

// Advice says what an operator can do.
func (e *pageStatusError) Advice() string {
	if e.Status == http.StatusTooManyRequests {
		return "others read the list too: see who does, or raise Cloud.RatePerS at the platform"
	}
	return "check Cloud.Address and the platform"
}

// tooManyPagesError says that the list did not end.
type tooManyPagesError struct{ Pages int }

// Error names the bound, with the advice.
func (e *tooManyPagesError) Error() string {
	return fmt.Sprintf("the platform's list has more than %d pages; %s", e.Pages, e.Advice())
}

// Advice says what an operator can do.
func (e *tooManyPagesError) Advice() string {
	return "check the platform: its last page has to say that no other follows"
}

// report sends what has changed to the control machines.
func (r *instanceReader) report(entries []instanceEntry) {
	d := r.dispatcher
	command := &statemachine.InstancesChanged{Reader: d.uplink.session}
	listed := map[string]bool{}
	for i := range entries {
		instance := entries[i].instance()
		listed[instance.ID] = true
		known := d.workers[instance.ID]
		if known == nil || known.Unlisted || !upToDate(&known.Instance, &instance) {
			command.Changed = append(command.Changed, instance)
		}
	}
	for _, id := range r.absences.observe(listed, slices.Sorted(maps.Keys(d.workers))) {
		if !d.workers[id].Unlisted {
			command.Removed = append(command.Removed, id)
		}
	}
	if len(command.Changed)+len(command.Removed) == 0 {
		return
	}
	r.reports++
	d.logger.Info().Uint64("reading", r.reports).Int("listed", len(entries)).Strs("changed", changedIDs(command)).
		Strs("removed", command.Removed).Msg("instance list changed")
	command.Sequence = r.reports
	d.uplink.submit(&statemachine.Command{InstancesChanged: command}, func(statemachine.Result) {})
}

func changedIDs(command *statemachine.InstancesChanged) []string {
	ids := make([]string, len(command.Changed))
	for i := range command.Changed {
		ids[i] = command.Changed[i].ID
	}
	return ids
}

// upToDate reports whether the replicated state already has what the list says. A worker that has begun to drain goes on
// draining, so a list that says otherwise is an older one.
func upToDate(known, read *statemachine.Instance) bool {
	return known.Service == read.Service && known.Address == read.Address && known.Zone == read.Zone &&
		known.Capacity == read.Capacity && (known.Draining || !read.Draining) &&
		(len(known.Labels) == 0 && len(read.Labels) == 0 || reflect.DeepEqual(known.Labels, read.Labels))
}
