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
	unitFile      = "scheduling/placement/unit.go"
	queueFile     = "scheduling/placement/queue.go"
	rankingFile   = "scheduling/placement/ranking.go"
	thresholdFile = "scheduling/placement/threshold.go"
	headroomFile  = "scheduling/placement/headroom.go"
	speedFile     = "scheduling/placement/speed.go"
	faultsFile    = "scheduling/placement/faults.go"
	memberFile    = "internal/control/server/membership.go"
)

// mechanisms lists what is believed in. Each edit's old text stands once in its file, which a test keeps.
var mechanisms = []mechanism{
	{"learned-thresholds", "thresholds follow their starting rule", []edit{
		{thresholdFile, "if slower.parameters.Updates < minThresholdUpdates {", "{"}}},
	{"thresholds", "any worker with room is taken at once", []edit{
		{thresholdFile, "if now-unit.EnqueuedAt >= time.Duration(extraMs)*time.Millisecond || s.isStarving(unit) {", "if extraMs >= 0 {"}}},
	{"near-equal", "the fastest worker alone, however little the others are slower", []edit{
		{rankingFile, "similarSpeed = 0.15", "similarSpeed = 0.0001"}}},
	{"own-order", "all dispatchers prefer the same ones among workers that are alike", []edit{
		{rankingFile, "randomPreferenceWeight = 0.25", "randomPreferenceWeight = 0.0"}}},
	{"learned-speeds", "all workers count as equally fast", []edit{
		{speedFile, "if worker == nil || took <= 0 || expected <= 0 {", "if worker == nil || took <= 0 || expected >= 0 {"}}},
	{"other-workers", "one worker named in a command", []edit{
		{rankingFile, "if unit.Step().Gang || len(s.candidates) < 2 {", "if unit.Step().Gang || len(s.candidates) >= 0 {"}}},
	{"reserve", "no room is left free for urgent work", []edit{
		{headroomFile, "if unit.Job.Priority == 0 || s.urgent.allWork == 0 || unit.Step().Gang || s.isStarving(unit) {", "if unit.Job.Priority >= 0 {"}}},
	{"blame", "runs that end badly are held against nobody", []edit{
		{faultsFile, "f.lastRate += weight * (1 - f.lastRate)", "f.lastRate += 0 * weight"}}},
	{"longer-pauses", "each pause of a worker is as short as the first", []edit{
		{faultsFile, "initialBackoff<<min(f.backoffs, maxBackoffDoublings)", "initialBackoff<<min(f.backoffs, 0)"}}},
	{"late-behind", "late units keep their place in the queue", []edit{
		{unitFile, "return now+u.CriticalPath/2 > u.Deadline }", "return now < 0 }"}}},
	{"deadlines", "first come, first served within a priority", []edit{
		{queueFile, "if a.Deadline != b.Deadline {\n\t\treturn a.Deadline < b.Deadline\n\t}", ""}}},
	{"locality", "work goes anywhere, wherever its data are", []edit{
		{rankingFile, "remotePenalty := math.Log(s.remoteFactor)", "remotePenalty := 0 * math.Log(s.remoteFactor)"}}},
	{"avoid-last", "a task may go back at once to the worker at which it failed", []edit{
		{unitFile, "func (u *Unit) AvoidWorker(worker string) { u.avoid = worker }", "func (u *Unit) AvoidWorker(string) { u.avoid = \"\" }"}}},
	{"thinning", "every figure of a worker's use is told", []edit{
		{"internal/control/server/outbox.go", "if older, isQueued := o.newestUsage[added.worker]; isQueued {", "if older, isQueued := o.newestUsage[added.worker]; isQueued && older == 0 && o.firstPosition > older {"}}},
	{"writers", "every member of the chain has to sync before a commit", []edit{
		{"coordination/view/view.go", "func replicationFactor(minMembers, electors int) int { return max(minMembers, electors-electors/2) }", "func replicationFactor(int, int) int { return 0 }"}}},
	{"expected-jobs", "a job is decided upon once the control machines have told of it", []edit{
		{"internal/dispatcher/clients.go", "\t\td.addProvisionalJob(d.now(), submitted)\n", ""}}},
	{"short-logs", "a snapshot comes by the ring's room alone", []edit{
		{"internal/control/server/snapshots.go", "s.logBytes > max(minLogBytes, logToSnapshotRatio*s.newestBytes) || s.freeSegments", "s.freeSegments"}}},
	{"sent-away", "a machine outside the chain lets dispatchers wait for half a second", []edit{
		{memberFile, "return !m.consensus.IsInitialMember() && m.view()", "return m.detector == nil && m.view()"}}},
}
