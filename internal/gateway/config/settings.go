package config

import (
	"encoding/json"
	"fmt"
	"time"

	"yardflow/scheduling/dispatch"
)

// settingsFile has the keys of the settings object that bear on decisions, under the
// names of the platform's page. A Go name here is a key: it stays. Keys by which nothing is
// decided, such as Probes or Stream, are left out and may be in the file.
type settingsFile struct {
	Balancers, MyNumber, Zone int
	CountedBy, RegistryMode   string
	OverShareWorth, RoundMs   float64
	Classes                   []struct {
		Name, Semantics, DedupScope                   string
		AimMs, DeadlineMs, LateShare, WindowMs, Worth float64
		AimStretch                                    float64
	}
	Extra struct {
		ClassKind    []int
		ClassStretch []float64
		ProgressMs   float64
		QueueOrder   string
		TellsStart   bool
	}
	Limits struct {
		Cancelling, Peers, RetryAfter, SecondCopies bool
		MaxAttempts                                 int
		MaxRetryAfterMs                             float64
	}
	LoadInfo struct {
		Columns []string
		Via     string
	}
	Prices struct{ CrossZone, Peer float64 }
	Rules  struct {
		AnswerSlackMs, AskWithinMs, ColdFrom, FallMs, FallMultiple, RampTimeMs, StopSendingWithinMs float64
	}
	Tenants []struct {
		Name     string
		QuotaRps float64
	}
}

// loadFields are the values of a load report by the names of the settings.
var loadFields = map[string]dispatch.LoadField{
	"active": dispatch.LoadActive, "waiting": dispatch.LoadWaiting, "avg_ms": dispatch.LoadServiceMs,
	"rps": dispatch.LoadRate, "err_rps": dispatch.LoadErrorRate,
	"x0": dispatch.LoadFreeSlots, "x1": dispatch.LoadFreeMemory,
}

// ParseSettings reads the settings object, which is the same in the start message of the
// simulator's protocol and in a real dispatcher's file. It decides nothing.
func ParseSettings(text []byte) (dispatch.Settings, error) {
	var in settingsFile
	if err := json.Unmarshal(text, &in); err != nil {
		return dispatch.Settings{}, err
	}
	out := dispatch.Settings{
		MinEventGap: Milliseconds(in.RoundMs),
		Values:      dispatch.ValueSettings{OverQuotaShare: in.OverShareWorth, PerWork: in.CountedBy == "work", CrossZoneCost: in.Prices.CrossZone},
		Fleet:       dispatch.FleetSettings{Index: in.MyNumber, Count: in.Balancers, Zone: in.Zone, Peers: in.Limits.Peers, PeerMessageCost: in.Prices.Peer},
		Workers: dispatch.WorkerSettings{FIFO: in.Extra.QueueOrder == "fifo", StartNotifications: in.Extra.TellsStart,
			ProgressInterval: Milliseconds(in.Extra.ProgressMs), DrainGrace: Milliseconds(in.Rules.StopSendingWithinMs)},
		List: dispatch.ListSettings{MustSubscribe: in.RegistryMode == "subscribe", RefreshInterval: Milliseconds(in.Rules.AskWithinMs)},
		Attempts: dispatch.AttemptSettings{Max: in.Limits.MaxAttempts, Hedging: in.Limits.SecondCopies, Cancellation: in.Limits.Cancelling,
			AnswerSlack: Milliseconds(in.Rules.AnswerSlackMs)},
		SlowStart: dispatch.SlowStartSettings{Share: in.Rules.ColdFrom, Time: Milliseconds(in.Rules.RampTimeMs),
			CrashLoadFactor: in.Rules.FallMultiple, CrashLoadTime: Milliseconds(in.Rules.FallMs)},
	}
	if in.Limits.RetryAfter {
		out.Attempts.MaxRetryAfter = Milliseconds(in.Limits.MaxRetryAfterMs)
	}
	for i := range in.Classes {
		class, err := in.class(i)
		if err != nil {
			return out, err
		}
		out.Classes = append(out.Classes, class)
	}
	for _, t := range in.Tenants {
		out.Tenants = append(out.Tenants, dispatch.Tenant{Name: t.Name, Quota: t.QuotaRps})
	}
	if in.LoadInfo.Via != "off" {
		for _, name := range in.LoadInfo.Columns {
			out.Workers.LoadFields = append(out.Workers.LoadFields, loadFields[name]) // LoadOther for a column that is not known
		}
	}
	return out, nil
}

// class reads the i-th class, whose keys stand in Classes and, by its index, in Extra.
func (in *settingsFile) class(i int) (dispatch.Class, error) {
	c := in.Classes[i]
	class := dispatch.Class{Name: c.Name, LatencyTarget: Milliseconds(c.AimMs), Stretch: c.AimStretch, Deadline: Milliseconds(c.DeadlineMs),
		Value: c.Worth, LateValueShare: c.LateShare, DedupWindow: Milliseconds(c.WindowMs), WorkerKind: -1}
	if i < len(in.Extra.ClassKind) {
		class.WorkerKind = in.Extra.ClassKind[i]
	}
	if i < len(in.Extra.ClassStretch) {
		class.Stretch = in.Extra.ClassStretch[i]
	}
	switch c.Semantics {
	case "retryable":
		class.Semantics = dispatch.Retryable
	case "dedup":
		class.Semantics = dispatch.Deduplicated
	case "fragile":
		class.Semantics = dispatch.AtMostOnce
	default:
		return class, fmt.Errorf("class %d has semantics %q", i, c.Semantics)
	}
	switch c.DedupScope {
	case "zone":
		class.DedupScope = dispatch.ScopeZone
	case "cell":
		class.DedupScope = dispatch.ScopeCell
	}
	return class, nil
}

// Milliseconds converts a number of milliseconds.
func Milliseconds(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
