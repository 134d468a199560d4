package config

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"time"

	"yardflow/internal/platform/tomlfile"
	"yardflow/scheduling/backfill"
)

// operatorFile is the form of deploy/yardflow.toml: everything that an installation may
// switch on beside what the platform states.
type operatorFile struct {
	Coordinators Coordinators `toml:"keepers"`
	SSE          *SSE         `toml:"sse"`
	Membership   *Membership  `toml:"membership"`
	Backfill     Backfill     `toml:"room"`
	Log          struct {
		Trace bool `toml:"trace"`
	} `toml:"log"`
	Source struct {
		SRV []SRV `toml:"srv"`
	} `toml:"source"`
}

// Backfill is how slots are reserved for large jobs.
type Backfill struct {
	Enabled   bool              `toml:"enabled"`
	Mode      string            `toml:"mode"`
	Quantile  float64           `toml:"quantile"`
	Most      int               `toml:"most"`
	Longest   tomlfile.Duration `toml:"longest"`
	Budget    float64           `toml:"budget"`
	SmallWait tomlfile.Duration `toml:"small_wait"`
	Large     float64           `toml:"large"`
}

// Coordinators says where a fleet agrees on its policies; without addresses, nowhere.
type Coordinators struct {
	Fleet       string   `toml:"fleet"`
	Addresses   []string `toml:"addresses"`
	OnLeaseLoss string   `toml:"fence"` // "refuse" or "last"
}

// legacySSEFile is the second front's file from before there was an operator's file.
const legacySSEFile = "sse.toml"

// loadOperator reads the operator's file; one that does not exist leaves everything
// off. Without a section [sse] in it, the legacy file beside it counts, with a notice.
func (c *Config) loadOperator(path string) error {
	c.SSE, c.Membership = defaultSSE(), DefaultMembership()
	sse := c.SSE
	in := operatorFile{SSE: &sse, Membership: &c.Membership, Backfill: defaultBackfill()}
	text, err := os.ReadFile(path)
	if err == nil {
		err = tomlfile.Decode(text, &in, func() error {
			c.SSE, c.SRV, c.Trace, c.Coordinators = *in.SSE, in.Source.SRV, in.Log.Trace, in.Coordinators
			return c.checkOperator(in.Backfill)
		})
	} else if errors.Is(err, fs.ErrNotExist) {
		err = nil
	}
	if err != nil {
		return fmt.Errorf("%s:%w", path, err)
	}
	return c.loadLegacySSE(filepath.Join(filepath.Dir(path), legacySSEFile), tomlfile.IndexKeys(text).HasSection("sse"))
}

// checkOperator checks the whole file, and fills in what is left out.
func (c *Config) checkOperator(b Backfill) error {
	if err := c.Coordinators.check(); err != nil {
		return err
	}
	if err := c.applyBackfill(b); err != nil {
		return err
	}
	if err := c.ValidateSSE("sse."); err != nil {
		return err
	}
	return c.checkMembership()
}

func (k *Coordinators) check() error {
	if len(k.Addresses) == 0 {
		return nil
	}
	if k.Fleet == "" {
		return tomlfile.KeyErrorf("keepers.fleet", "missing; expected the name in the keepers' files")
	}
	for i, a := range k.Addresses {
		if err := checkAddress("address", a); err != nil {
			return tomlfile.KeyErrorf(fmt.Sprintf("keepers.addresses[%d]", i), "%q; expected host:port", a)
		}
	}
	if k.OnLeaseLoss == "" {
		k.OnLeaseLoss = "refuse"
	}
	if k.OnLeaseLoss != "refuse" && k.OnLeaseLoss != "last" {
		return tomlfile.KeyErrorf("keepers.fence", "%q; expected \"refuse\" or \"last\", as in the keepers' files", k.OnLeaseLoss)
	}
	return nil
}

// loadLegacySSE reads the second front's legacy file, if it exists and the operator's
// file does not replace it.
func (c *Config) loadLegacySSE(path string, replaced bool) error {
	text, err := os.ReadFile(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil
	case err != nil:
		return err
	case replaced:
		c.Notices = append(c.Notices, path+": not read: the operator's file has [sse]")
		return nil
	}
	s := defaultSSE()
	err = tomlfile.Decode(text, &s, func() error {
		c.SSE = s
		return c.ValidateSSE("")
	})
	if err != nil {
		return fmt.Errorf("%s:%w", path, err)
	}
	c.Notices = append(c.Notices, path+": still read; its keys belong under [sse] in yardflow.toml, [[contract]] as [[sse.contract]]")
	return nil
}

func defaultBackfill() Backfill {
	d := backfill.DefaultSettings()
	return Backfill{Mode: string(d.Mode), Quantile: d.Quantile, Most: d.MaxReservations, Longest: tomlfile.Duration{Duration: d.ReservationTTL},
		Budget: d.IdleBudget, SmallWait: tomlfile.Duration{Duration: d.MaxJobDelay}, Large: d.LargeRuns}
}

// applyBackfill checks [room], on or off, and gives it to the decision module where it
// is on. backfill names its settings by the keys of [room].
func (c *Config) applyBackfill(in Backfill) error {
	s := backfill.Settings{Mode: backfill.Mode(in.Mode), Quantile: in.Quantile, MaxReservations: in.Most, ReservationTTL: in.Longest.Duration,
		IdleBudget: in.Budget, MaxJobDelay: in.SmallWait.Duration, LargeRuns: in.Large}
	if err := s.Validate(); err != nil {
		key, problem, _ := strings.Cut(err.Error(), ": ")
		return tomlfile.KeyErrorf("room."+key, "%s", problem)
	}
	if in.Enabled {
		c.Dispatch.Backfill = &s
	}
	return nil
}

func setDefault(d *tomlfile.Duration, v time.Duration) {
	if d.Duration == 0 {
		d.Duration = v
	}
}
