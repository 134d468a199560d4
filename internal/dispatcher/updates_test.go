package dispatcher

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"yardflow/internal/control/protocol"
	"yardflow/internal/control/statemachine"
	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

// updateStream feeds a dispatcher with the updates of a state machine, as the server does: it encodes them only after a
// whole batch of commands has been applied.
type updateStream struct {
	t          *testing.T
	random     *rand.Rand
	fsm        *statemachine.FSM
	dispatcher *Dispatcher
	queued     []statemachine.AddressedUpdate // of the present batch
	sent       []cbor.RawMessage              // to the dispatcher so far
	reports    uint64
	incarnation,
	other uint64 // incarnation of the other dispatcher, and its session; 0: closed
	// formerServer encodes jobs as a control machine of an earlier build does: in their state after the batch.
	formerServer bool
}

const (
	ownSession      = statemachine.SessionID(1)
	updateStreamJob = 4 // number of different job IDs
)

func newUpdateStream(t *testing.T, seed uint64, formerServer bool) *updateStream {
	s := &updateStream{t: t, random: rand.New(rand.NewPCG(seed, 6)), fsm: statemachine.New(1000),
		dispatcher: newDispatcherWithoutLoop(), formerServer: formerServer}
	s.dispatcher.uplink.session = ownSession
	s.apply(statemachine.Command{OpenSession: &statemachine.OpenSession{Node: "front-1", Zone: "z", Incarnation: 1}})
	for i := range 3 {
		s.reportWorker(fmt.Sprint("w", i), 4000)
	}
	s.deliver()
	return s
}

// apply applies a command and queues its updates.
func (s *updateStream) apply(command statemachine.Command) statemachine.Result {
	result := s.fsm.Apply(&command)
	s.queued = append(s.queued, s.fsm.DequeueUpdates()...)
	return result
}

func (s *updateStream) reportWorker(id string, cpu int64) {
	s.reports++
	s.apply(statemachine.Command{InstancesChanged: &statemachine.InstancesChanged{Reader: ownSession, Sequence: s.reports,
		Changed: []statemachine.Instance{{ID: id, Service: "s", Address: id + ":1", Zone: "z", Labels: []string{"kind", "rack"},
			Capacity: job.Resources{CPU: cpu, MemoryMB: 4000}}}}})
}

// deliver encodes the queued updates for the dispatcher's session, and lets it apply them.
func (s *updateStream) deliver() {
	message := &protocol.ControlMessage{}
	for _, addressed := range s.queued {
		if addressed.To != 0 && addressed.To != ownSession {
			continue
		}
		update := addressed.Update
		if s.formerServer && update.Job != nil && s.fsm.Jobs[update.Job.ID] != nil {
			update.Job = s.fsm.Jobs[update.Job.ID]
		}
		message.Updates = append(message.Updates, protocol.Encode(update))
	}
	s.queued = nil
	s.sent = append(s.sent, message.Updates...)
	s.dispatcher.receiveUpdates(message)
}

// repeatTaskUpdates delivers random earlier updates about jobs and tasks again.
func (s *updateStream) repeatTaskUpdates() {
	message := &protocol.ControlMessage{}
	for range 5 {
		raw := s.sent[s.random.IntN(len(s.sent))]
		update := &statemachine.Update{}
		if protocol.Decode(raw, update) && (update.Task != nil || update.JobState != nil || update.Job != nil) {
			message.Updates = append(message.Updates, raw)
		}
	}
	s.dispatcher.receiveUpdates(message)
}

// step applies a random command, most often one that moves a job on.
func (s *updateStream) step() {
	id := fmt.Sprintf("%016x", s.random.IntN(updateStreamJob))
	switch s.random.IntN(12) {
	case 0, 1:
		s.apply(statemachine.Command{SubmitJob: &statemachine.SubmitJob{Job: job.Job{ID: id, Route: "r", Service: "s",
			MaxAttempts: 3, Owner: s.submitter(), Request: job.Request{Steps: []job.Step{{Count: 3, CPU: 1000, MemoryMB: 100},
				{Count: 2, CPU: 1000, DependsOn: []int{0}, Gang: true}, {Count: 2, CPU: 500, DependsOn: []int{1}}}}}}})
	case 2:
		if s.random.IntN(8) == 0 {
			s.apply(statemachine.Command{CancelJob: &statemachine.CancelJob{Job: id}})
		}
	case 3:
		s.toggleOtherSession()
	case 4:
		s.reportWorker(fmt.Sprint("w", s.random.IntN(3)), int64(3000+1000*s.random.IntN(3)))
	case 5, 6, 7:
		s.placeReadyStep(id)
	default:
		s.endRandomRun()
	}
}

func (s *updateStream) submitter() statemachine.SessionID {
	if s.other != 0 && s.random.IntN(2) == 0 {
		return s.other
	}
	return ownSession
}

// toggleOtherSession opens or closes the session of another dispatcher, whose jobs and workers then change their owner.
func (s *updateStream) toggleOtherSession() {
	if s.other != 0 {
		s.apply(statemachine.Command{CloseSession: &statemachine.CloseSession{Session: s.other}})
		s.other = 0
		return
	}
	s.incarnation++
	s.other = s.apply(statemachine.Command{OpenSession: &statemachine.OpenSession{Node: "front-2", Zone: "z",
		Incarnation: s.incarnation, ExpectedLatest: s.fsm.LatestSession("front-2")}}).Session
}

// placeReadyStep places a task, or a gang, of a step of the job at a random worker.
func (s *updateStream) placeReadyStep(id string) {
	j := s.fsm.Jobs[id]
	if j == nil {
		return
	}
	step := s.random.IntN(3)
	targets := []statemachine.Target{}
	for index := range j.Request.Steps[step].Count {
		key := job.TaskKey{Step: step, Index: index}
		if task := j.EnsureTask(key); !task.Done && task.Worker == "" {
			targets = append(targets, statemachine.Target{Task: key, Worker: fmt.Sprint("w", s.random.IntN(3))})
		}
	}
	if !j.Request.Steps[step].Gang && len(targets) > 0 {
		targets = targets[:1]
	}
	s.apply(statemachine.Command{PlaceTasks: &statemachine.PlaceTasks{Session: j.Owner, Job: id, Targets: targets}})
}

// endRandomRun ends a placed run, most often as done.
func (s *updateStream) endRandomRun() {
	worker := s.fsm.Workers[fmt.Sprint("w", s.random.IntN(3))]
	names := slices.Sorted(maps.Keys(worker.Runs))
	if len(names) == 0 {
		return
	}
	name := names[s.random.IntN(len(names))]
	id, key, _ := job.ParseTaskName(name)
	reasons := []taskrun.EndReason{taskrun.Done, taskrun.Done, taskrun.Done, taskrun.Failed, taskrun.Lost, taskrun.Stopped}
	ended := taskrun.Ended{Worker: worker.ID, Job: id, Task: key, Run: worker.Runs[name].Number,
		Reason: reasons[s.random.IntN(len(reasons))], Token: worker.Token}
	s.apply(statemachine.Command{RunEnded: &ended})
	if s.random.IntN(4) == 0 { // a second report of the end, which may be another one
		ended.Reason = reasons[s.random.IntN(len(reasons))]
		s.apply(statemachine.Command{RunEnded: &ended})
	}
}

// statePicture describes what the state has for the dispatcher's session.
func (s *updateStream) statePicture() string {
	jobs := map[string]*job.Job{}
	for id, j := range s.fsm.Jobs {
		if j.Owner == ownSession {
			jobs[id] = j
		}
	}
	placed := map[string]uint64{}
	for _, worker := range s.fsm.Workers {
		for name, run := range worker.Runs {
			if worker.Owner == ownSession {
				placed[worker.ID+" "+name] = run.Number
			}
		}
	}
	return describe(jobs, s.fsm.Workers, placed)
}

// dispatcherPicture describes what the dispatcher has.
func (s *updateStream) dispatcherPicture() string {
	jobs := map[string]*job.Job{}
	for id, owned := range s.dispatcher.jobs {
		jobs[id] = owned.Job
		s.checkTrackedRuns(owned)
	}
	placed := map[string]uint64{}
	for id, worker := range s.dispatcher.ownedWorkers {
		for name, run := range worker.owner.PlacedRuns() {
			placed[id+" "+name] = run
		}
	}
	return describe(jobs, s.dispatcher.workers, placed)
}

// checkDigests checks that equal pictures have equal digests of open jobs.
func (s *updateStream) checkDigests() {
	if own, state := s.dispatcher.openJobs(), s.fsm.OpenJobDigests()[ownSession]; own != state {
		s.t.Errorf("the digest of open jobs is %v here, %v in the state", own, state)
	}
}

// checkTrackedRuns checks that the runs that count as placed are those that the tasks show, and that the counts of done
// tasks are those of the tasks.
func (s *updateStream) checkTrackedRuns(owned *ownedJob) {
	done := map[job.StepKey]int{}
	for key, task := range owned.Tasks {
		if task.Done {
			done[job.StepKey{Repetition: key.Repetition, Step: key.Step}]++
		}
		if !owned.State.Terminal() && owned.runs[key].worker != task.Worker {
			s.t.Errorf("task %v of %s counts as placed at %q, its worker is %q", key, owned.ID, owned.runs[key].worker, task.Worker)
		}
	}
	for key, count := range owned.DoneTasks {
		if count != done[key] {
			s.t.Errorf("step %v of %s counts %d done tasks, %d are done", key, owned.ID, count, done[key])
		}
	}
}

// describe lists jobs, workers and the runs at owned workers with everything by which a dispatcher acts.
func describe(jobs map[string]*job.Job, workers map[string]*statemachine.Worker, placed map[string]uint64) string {
	text := &strings.Builder{}
	for _, run := range slices.Sorted(maps.Keys(placed)) {
		fmt.Fprintf(text, "%s run %d\n", run, placed[run])
	}
	for _, id := range slices.Sorted(maps.Keys(jobs)) {
		j := jobs[id]
		fmt.Fprintf(text, "%s %v\n", id, j.State)
		if j.State.Terminal() {
			continue // the dispatcher drops what it has queued of the job
		}
		for _, key := range j.SortedTaskKeys() {
			if task := j.Tasks[key]; task.Run > 0 {
				fmt.Fprintf(text, "  %v run %d at %q done %v stopping %v\n", key, task.Run, task.Worker, task.Done, task.Stopping)
			}
		}
		for step := range j.Request.Steps {
			fmt.Fprintf(text, "  step %d: %d done\n", step, j.DoneTasks[job.StepKey{Step: step}])
		}
	}
	for _, id := range slices.Sorted(maps.Keys(workers)) {
		fmt.Fprintf(text, "%s used %v of %v\n", id, workers[id].Used, workers[id].Capacity)
	}
	return text.String()
}

// checkPictures plays random schedules of commands, cut into batches of up to so many commands, and checks after each batch
// that the dispatcher's picture is the state's own view for the dispatcher's session.
func checkPictures(t *testing.T, formerServer bool, longestBatch int, afterBatch func(s *updateStream)) {
	t.Helper()
	const seeds, batches = 60, 120
	for seed := range uint64(seeds) {
		s := newUpdateStream(t, seed, formerServer)
		for range batches {
			for range 1 + s.random.IntN(longestBatch) {
				s.step()
			}
			s.deliver()
			afterBatch(s)
			if want, got := s.statePicture(), s.dispatcherPicture(); got != want {
				t.Fatalf("seed %d: the dispatcher has\n%s\nthe state has\n%s", seed, got, want)
			}
			s.checkDigests()
		}
	}
}

// TestDispatcherPictureEqualsStateForAnyBatching guards against jobs that stand still because their dispatcher has another
// picture of them than the state (review/6): whatever commands are applied, and however they are cut into batches, the
// dispatcher's picture after the updates of a batch is the state's own view for the dispatcher's session.
func TestDispatcherPictureEqualsStateForAnyBatching(t *testing.T) {
	checkPictures(t, false, 12, func(*updateStream) {})
}

// TestDispatcherPictureSurvivesUpdatesOfFormerServers guards against jobs that stand still beside control machines of the
// build before (review/6): those send a job in its state after the batch, and the older states of its tasks behind it.
func TestDispatcherPictureSurvivesUpdatesOfFormerServers(t *testing.T) {
	checkPictures(t, true, 12, func(*updateStream) {})
}

// TestRepeatedUpdatesChangeNothing guards against jobs that go back to an older state: an update of a job, a job's state or
// a task that is applied again, late or after a newer one changes nothing.
func TestRepeatedUpdatesChangeNothing(t *testing.T) {
	checkPictures(t, false, 6, (*updateStream).repeatTaskUpdates)
}

// TestDoneTaskStaysDoneBehindOlderUpdates is the case of review/6 in short: the job in its state after the batch, then the
// task as it was placed, then its end. The job's other task must be queued, and a step must not be complete too early.
func TestDoneTaskStaysDoneBehindOlderUpdates(t *testing.T) {
	d := attachedDispatcher()
	first := job.TaskKey{}
	late := provisionalJob()
	late.State = job.Running
	late.Tasks = map[job.TaskKey]*job.Task{first: {Run: 1, Done: true}}
	late.DoneTasks = map[job.StepKey]int{{}: 1}
	d.receiveUpdate(time.Second, &statemachine.Update{Job: &late}, nil)
	for _, task := range []job.Task{{Run: 1, Worker: "w1"}, {Run: 1, Done: true}} {
		d.receiveUpdate(time.Second, &statemachine.Update{Task: &statemachine.TaskUpdate{Job: late.ID, Key: first, Task: task}}, nil)
	}
	d.enqueueReady(time.Second)
	d.schedule(time.Second)
	if done := d.jobs[late.ID].DoneTasks[job.StepKey{}]; done != 1 {
		t.Errorf("%d tasks count as done, want 1", done)
	}
	if got := pendingCommands(d); got != "place" {
		t.Errorf("commands %q are pending, want the placement of the second task", got)
	}
}
