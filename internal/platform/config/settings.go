// This file owns the reading of the settings object, the same for the simulator's
// wire and for a real dispatcher: JSON in, the module's settings and the names the
// wires use out. It must never decide anything or read a file.
package config

import (
	"encoding/json"
	"fmt"
	"time"

	"yardflow/scheduling/dispatch"
)

// settings mirrors the keys of the start message that bear on decisions.
type settings struct {
	Balancers, MyNumber, Zone int
	CountedBy, RegistryMode   string
	OverShareWorth, RoundMs   float64
	Classes                   []struct {
		Name, Semantics, DedupScope                   string
		AimMs, DeadlineMs, LateShare, WindowMs, Worth float64
		AimStretch                                    float64
		Stream                                        bool
	}
	Extra struct {
		ClassKind, ClassPriority []int
		ClassStretch             []float64
		ProgressMs               float64
		QueueOrder               string
		TellsStart               bool
	}
	Limits struct {
		Cancelling, Peers, Probes, RetryAfter, SecondCopies bool
		MaxAttempts                                         int
		MaxRetryAfterMs                                     float64
	}
	LoadInfo struct {
		Columns []string
		Via     string
	}
	Prices struct{ CrossZone, LateFail, Peer, Waste float64 }
	Rules  struct {
		AnswerSlackMs, AskWithinMs, ColdFrom, FallMs, FallMultiple, RampTimeMs, StopSendingWithinMs float64
	}
	Tenants []struct {
		Name     string
		QuotaRps float64
	}
}

var loadFields = map[string]dispatch.LoadField{
	"active": dispatch.LoadActive, "waiting": dispatch.LoadWaiting, "avg_ms": dispatch.LoadServiceMs,
	"rps": dispatch.LoadRate, "err_rps": dispatch.LoadErrorRate,
}

func ParseSettings(text []byte) (dispatch.Settings, error) {
	var in settings
	var out dispatch.Settings
	if err := json.Unmarshal(text, &in); err != nil {
		return out, err
	}
	out = dispatch.Settings{
		DispatcherIndex: in.MyNumber, DispatcherCount: in.Balancers, Zone: in.Zone,
		OverQuotaValueShare: in.OverShareWorth, ValuePerWork: in.CountedBy == "work",
		MinEventGap: Milliseconds(in.RoundMs), StartNotifications: in.Extra.TellsStart, ProgressInterval: Milliseconds(in.Extra.ProgressMs),
		FIFOWorkers: in.Extra.QueueOrder == "fifo", MustSubscribe: in.RegistryMode == "subscribe",
		MaxAttempts: in.Limits.MaxAttempts, Hedging: in.Limits.SecondCopies,
		Cancellation: in.Limits.Cancelling, Probes: in.Limits.Probes, Peers: in.Limits.Peers,
		AnswerSlack: Milliseconds(in.Rules.AnswerSlackMs), DrainGrace: Milliseconds(in.Rules.StopSendingWithinMs),
		ListRefreshInterval: Milliseconds(in.Rules.AskWithinMs), SlowStartShare: in.Rules.ColdFrom, SlowStartTime: Milliseconds(in.Rules.RampTimeMs),
		CrashLoadFactor: in.Rules.FallMultiple, CrashLoadTime: Milliseconds(in.Rules.FallMs),
		CrossZoneCost: in.Prices.CrossZone, WastedWorkCost: in.Prices.Waste, PeerMessageCost: in.Prices.Peer, LateCost: in.Prices.LateFail,
	}
	if in.Limits.RetryAfter {
		out.MaxRetryAfter = Milliseconds(in.Limits.MaxRetryAfterMs)
	}
	for i, c := range in.Classes {
		class := dispatch.Class{Name: c.Name, LatencyTarget: Milliseconds(c.AimMs), Stretch: c.AimStretch, Deadline: Milliseconds(c.DeadlineMs),
			Value: c.Worth, LateValueShare: c.LateShare, DedupWindow: Milliseconds(c.WindowMs), WorkerKind: -1, Stream: c.Stream}
		if i < len(in.Extra.ClassKind) {
			class.WorkerKind = in.Extra.ClassKind[i]
		}
		if i < len(in.Extra.ClassPriority) {
			class.Priority = in.Extra.ClassPriority[i]
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
			return out, fmt.Errorf("class %d has semantics %q", i, c.Semantics)
		}
		switch c.DedupScope {
		case "zone":
			class.DedupScope = dispatch.ScopeZone
		case "cell":
			class.DedupScope = dispatch.ScopeCell
		}
		out.Classes = append(out.Classes, class)
	}
	for _, t := range in.Tenants {
		out.Tenants = append(out.Tenants, dispatch.Tenant{Name: t.Name, Quota: t.QuotaRps})
	}
	if in.LoadInfo.Via != "off" {
		for _, name := range in.LoadInfo.Columns {
			f := loadFields[name]
			switch {
			case name == "x0":
				f = dispatch.LoadFreeSlots
			case name == "x1":
				f = dispatch.LoadFreeMemory
			}
			out.LoadFields = append(out.LoadFields, f)
		}
	}
	return out, nil
}

// Milliseconds reads a figure in milliseconds.
func Milliseconds(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
