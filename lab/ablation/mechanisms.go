package main

// edit replaces one place of a source file.
type edit struct {
	file string
	old  string
	new  string
}

// mechanism is something that can be switched off by edits.
type mechanism struct {
	name  string
	what  string // what stands in its place
	edits []edit
}

const (
	placementFile = "scheduling/placement/placement.go"
	findFile      = "scheduling/placement/find.go"
	reserveFile   = "scheduling/placement/reserve.go"
	workerFile    = "scheduling/placement/worker.go"
	memberFile    = "internal/control/server/membership.go"
)

// mechanisms lists what is believed in. Each edit's old text stands once in its file, which a test keeps.
var mechanisms = []mechanism{
	{"learned-thresholds", "thresholds follow their starting rule", []edit{
		{placementFile, "if slower.arm.Updates < untaught {", "{"}}},
	{"thresholds", "any worker with room is taken at once", []edit{
		{placementFile, "if now-unit.EnqueuedAt >= time.Duration(extra)*time.Millisecond {", "if extra >= 0 {"}}},
	{"near-equal", "the fastest worker alone, however little the others are slower", []edit{
		{placementFile, "nearEqual = 0.15", "nearEqual = 0.0001"}}},
	{"own-order", "all dispatchers prefer the same ones among workers that are alike", []edit{
		{placementFile, "jitter    = 0.25", "jitter    = 0.0"}}},
	{"learned-speeds", "all workers count as equally fast", []edit{
		{workerFile, "if worker == nil || took <= 0 || expected <= 0 {", "if worker == nil || took <= 0 || expected >= 0 {"}}},
	{"other-workers", "one worker named in a command", []edit{
		{findFile, "if unit.Step().Gang || len(p.fitting) < 2 {", "if unit.Step().Gang || len(p.fitting) >= 0 {"}}},
	{"reserve", "no room is left free for urgent work", []edit{
		{reserveFile, "if unit.Job.Priority == 0 || p.allWork == 0 || unit.Step().Gang {", "if unit.Job.Priority >= 0 {"}}},
	{"blame", "runs that end badly are held against nobody", []edit{
		{workerFile, "worker.bad += weight * (1 - worker.bad)", "worker.bad += 0 * weight"}}},
	{"longer-pauses", "each pause of a worker is as short as the first", []edit{
		{workerFile, "pauseBase<<min(worker.pauses, 5)", "pauseBase<<min(worker.pauses, 0)"}}},
	{"late-behind", "late units keep their place in the queue", []edit{
		{placementFile, "return now+u.CriticalPath/2 > u.Deadline }", "return now < 0 }"}}},
	{"deadlines", "first come, first served within a priority", []edit{
		{placementFile, "if a.Deadline != b.Deadline {\n\t\treturn a.Deadline < b.Deadline\n\t}", ""}}},
	{"locality", "work goes anywhere, wherever its data are", []edit{
		{findFile, "far, reserve := math.Log(p.farX), p.reserve(unit)", "far, reserve := 0*math.Log(p.farX), p.reserve(unit)"}}},
	{"avoid-last", "a task may go back at once to the worker at which it failed", []edit{
		{placementFile, "func (u *Unit) AvoidWorker(worker string) { u.avoid = worker }", "func (u *Unit) AvoidWorker(string) { u.avoid = \"\" }"}}},
	{"thinning", "every figure of a worker's use is told", []edit{
		{"internal/control/server/outbox.go", "if former, waits := o.newestUsage[added.worker]; waits {", "if former, waits := o.newestUsage[added.worker]; waits && former == 0 && o.firstPosition > former {"}}},
	{"writers", "every member of the chain has to sync before a commit", []edit{
		{"coordination/view/view.go", "func replicationFactor(minimum, electors int) int { return max(minimum, electors-electors/2) }", "func replicationFactor(int, int) int { return 0 }"}}},
	{"expected-jobs", "a job is decided upon once the control machines have told of it", []edit{
		{"internal/dispatcher/intake.go", "\t\td.expectJob(d.now(), submitted)\n", ""}}},
	{"short-logs", "a snapshot comes by the ring's room alone", []edit{
		{"internal/control/server/snapshots.go", "s.logBytes > max(minLogBytes, logToSnapshotRatio*s.newestBytes) || s.freeSegments", "s.freeSegments"}}},
	{"sent-away", "a machine outside the chain lets dispatchers wait for half a second", []edit{
		{memberFile, "return !m.consensus.IsInitialMember() && m.view()", "return m.detector == nil && m.view()"}}},
}
