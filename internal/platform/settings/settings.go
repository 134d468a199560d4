// Package settings reads and checks the settings file that the platform gives each process of the system: who it is,
// where it serves, whom it can ask at its start, and the figures of the rules in force.
//
// Fields are named as the keys of the file, which the platform's page DEPLOY defines; other keys are skipped. A process
// reads the file at its start, and a dispatcher again when it looks for control machines: the platform may change it at
// any time. The package never writes the file, and nothing in it applies a setting.
package settings

// PathVariable names the environment variable that holds the path of the file.
const PathVariable = "YARDFLOW_BOOT"

// Settings is the content of the file. Load makes it and nothing changes it afterwards.
type Settings struct {
	Node      string            // this machine's name
	Role      string            // not used by this version: the command line says what the process does
	Class     string            // not used by this version
	Serves    []string          // not used by this version
	Zone      string            // this machine's zone
	Seeds     []string          // control addresses of at most three machines, which may be out of date
	Bootstrap bool              // the whole system starts for the first time, with empty disks
	DataDir   string            // folder of a control process on its disk
	Zones     map[string]string // region by zone; not used by this version
	Listen    Listen
	Limits    Limits
	Tolerate  Tolerate
	Bounds    Bounds
	Cloud     Cloud
}

// Listen has the addresses at which a process serves, host and port. A control process has Control, a dispatcher Front
// and Ready.
type Listen struct {
	Front   string // clients
	Ready   string // the platform's question whether the dispatcher is ready
	Control string // dispatchers, operators and other control processes
}

// Limits are those of the machine; 0 where the platform states none.
type Limits struct {
	Cores    int   // not used by this version
	MemoryMb int64 // the process is killed above it
	MaxFds   int   // descriptors that the process may have open
	DiskMb   int64 // of DataDir
}

// Tolerate says what may be lost at once with everything acknowledged kept.
type Tolerate struct {
	Machines int
	Zones    int // not used by this version
	Regions  int // not used by this version
}

// Bounds are figures of the rules in force; the end of a name is its unit: Ms for milliseconds, S for seconds.
type Bounds struct {
	HoldMaxMs int64   // the longest lease under which a worker goes on with what runs there
	StopMs    int64   `toml:"stop_ms"` // a worker takes at most this to stop a run; not used by this version
	GraceS    float64 // from SIGTERM to SIGKILL
	// StatusRetentionS is for how long the state of a terminal job has to be known.
	StatusRetentionS float64 `toml:"status_s"`
	// FarFactor is how many times as long a task takes where its data, or its gang's other members, are far.
	FarFactor float64 `toml:"far_x"`
}

// Cloud is the platform's instance list.
type Cloud struct {
	Address  string  // host and port
	RatePerS float64 // calls a second that the platform takes from all machines together; 0: not known
}
