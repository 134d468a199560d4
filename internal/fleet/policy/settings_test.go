package policy

import (
	"testing"
	"time"

	"yardflow/internal/fleet/outlier"
	"yardflow/internal/fleet/quota"
)

const everything = `
attempts = 3
dispatchers = 12

[[limit]]
name = "loans"
kind = "rate"
amount = 100.0
burst = 20.0
static = 0.5

[verdicts]
enabled = true
witnesses = 2
hearing = "0s"

[start]
calls = 5
use = "100ms"

[[pool]]
name = "packers"
kinds = ["triple-slow"]
`

// What a document states takes the place of the defaults, and what it does not state keeps them.
func TestSettingsOfADocument(t *testing.T) {
	d, err := Parse([]byte(everything))
	if err != nil {
		t.Fatal(err)
	}
	want := outlier.DefaultSettings()
	want.MinReporters, want.ObjectionWindow = 2, 0
	if got := d.OutlierSettings(); got == nil || *got != want {
		t.Errorf("outlier ejection: %+v, want %+v", got, want)
	}
	if got := d.ColdStartSettings(); got == nil || got.CallsPerSecond != 5 || got.TokenWindow != 100*time.Millisecond {
		t.Errorf("cold start: %+v", got)
	}
	if got, err := d.QuotaLimits(); err != nil || len(got) != 1 || got[0].Name != "loans" || got[0].Amount != 100*quota.Unit {
		t.Errorf("limits: %+v", got)
	}
	if got := d.PoolNames(); len(got) != 1 || got[0] != "packers" {
		t.Errorf("pools: %q", got)
	}
	var empty Document
	if empty.OutlierSettings() != nil || empty.ColdStartSettings() != nil || len(empty.PoolNames()) != 0 {
		t.Error("an empty document switches something on")
	}
}
