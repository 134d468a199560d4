// Package settings reads and checks the settings file of a process.
package settings

import (
	"os"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"
)

// PathVariable names the environment variable that holds the path of the file.
const PathVariable = "YARDFLOW_BOOT"

// Listen has the addresses at which a process serves.
type Listen struct {
	Front   string
	Ready   string
	Control string
}

// Limits of the machine.
type Limits struct {
	Cores    int
	MemoryMb int64
	DiskMb   int64
}

// Tolerate says how many machines may be lost at once with everything kept.
type Tolerate struct {
	Machines int
	Zones    int
	Regions  int
}

// Bounds are the figures of the rules in force; Ms are milliseconds, S seconds.
type Bounds struct {
	HoldMaxMs        int64
	StopMs           int64   `toml:"stop_ms"`
	GraceS           float64 // between SIGTERM and SIGKILL
	StatusRetentionS float64 `toml:"status_s"`
	FarFactor        float64 `toml:"far_x"`
}

// Cloud is the platform's list of instances.
type Cloud struct {
	Address string
}

// Settings is what a process is told at its start.
type Settings struct {
	Node      string
	Role      string
	Class     string
	Serves    []string
	Zone      string
	Seeds     []string
	Bootstrap bool
	DataDir   string
	Zones     map[string]string
	Listen    Listen
	Limits    Limits
	Tolerate  Tolerate
	Bounds    Bounds
	Cloud     Cloud
}

// InvalidError names a key that is wrong, and what to do about it.
type InvalidError struct {
	Key     string
	Problem string
}

// Error names key and advice.
func (f *InvalidError) Error() string { return f.Key + ": " + f.Problem }

// Load reads and checks the file. Fields it does not know are skipped.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotatef(err, "the settings file; name it in %s", PathVariable)
	}
	s := &Settings{}
	if err := toml.Unmarshal(text, s); err != nil {
		var decoding *toml.DecodeError
		if errors.As(err, &decoding) {
			line, _ := decoding.Position()
			return nil, errors.Errorf("%s line %d: %s", path, line, decoding.Error())
		}
		return nil, errors.Annotate(err, path)
	}
	if fault := s.check(); fault != nil {
		return nil, fault
	}
	return s, nil
}

func (s *Settings) check() error {
	switch {
	case s.Node == "":
		return &InvalidError{"Node", "is missing; give this machine's name"}
	case s.Zone == "":
		return &InvalidError{"Zone", "is missing; give this machine's zone"}
	case len(s.Seeds) == 0:
		return &InvalidError{"Seeds", "is empty; give the control addresses of up to three machines"}
	case s.Listen.Control == "" && s.Listen.Front == "":
		return &InvalidError{"Listen", "names no address; give Control on a core machine, Front and Ready on a front machine"}
	case s.Listen.Control != "" && s.DataDir == "":
		return &InvalidError{"DataDir", "is missing; a control process needs a folder on its disk"}
	case s.Listen.Front != "" && s.Cloud.Address == "":
		return &InvalidError{"Cloud.Address", "is missing; give the address of the platform's list"}
	case s.Bounds.HoldMaxMs <= 0 && s.Listen.Front != "":
		return &InvalidError{"Bounds.HoldMaxMs", "must be above 0; it is how long a worker holds what runs without renewal"}
	case s.Tolerate.Machines < 0:
		return &InvalidError{"Tolerate.Machines", "must not be below 0"}
	}
	return nil
}
