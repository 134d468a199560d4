package harness

// This file owns the scenarios of coordinators' folders: lost, damaged, full, older, or the only one that is left.

import (
	"os"
	"path/filepath"
	"strings"

	"yardflow/internal/fleet/statemachine"
)

// A folder that is lost, another's or damaged is refused by name, and nothing is made anew.
func folders(t T, r *Rig) {
	check(t, r.Propose("one", second, 0, false))
	awaitStage(t, r, "one", statemachine.InForce)
	k := r.Coordinators[2]
	dir := filepath.Join(r.Dir, k.Name)
	file := filepath.Join(dir, "keeper.db")
	// In force is what a majority has: this coordinator may get it later.
	check(t, Until("the last keeper has the policy in its folder", func() bool {
		text, err := os.ReadFile(file)
		return err == nil && strings.Contains(string(text), "attempts = 3")
	}))
	k.Kill()
	whole, err := os.ReadFile(file)
	check(t, err)
	refuses := func(what, want string) {
		t.Helper()
		mark := k.Mark()
		if err := k.Start(); err == nil {
			t.Errorf("%s: it starts", what)
			k.Kill()
			return
		}
		if _, err := k.Await(mark, want); err != nil {
			t.Errorf("%s: %v", what, err)
		}
	}
	check(t, os.Rename(dir, dir+".away"))
	refuses("lost", "holds no keeper")
	check(t, os.Rename(dir+".away", dir))
	other, err := os.ReadFile(filepath.Join(r.Dir, "k1", "keeper.db"))
	check(t, err)
	check(t, os.WriteFile(file, other, 0o600))
	refuses("another's", "the folder is another's")
	spoilt := append([]byte(nil), whole...)
	at := strings.Index(string(whole), "attempts = 3")
	if at < 0 {
		t.Fatal("the policy's text is not found in the folder")
	}
	for i := 0; i < len(spoilt)-12; i++ { // wherever it stands: pages of before hold it too
		if string(spoilt[i:i+12]) == "attempts = 3" {
			spoilt[i+11] = '9'
		}
	}
	check(t, os.WriteFile(file, spoilt, 0o600))
	refuses("damaged", "the folder is damaged")
	check(t, os.WriteFile(file, whole, 0o600))
	check(t, k.Start())
	check(t, r.Propose("two", third, 1, false))
	awaitStage(t, r, "two", statemachine.InForce)
}

// A coordinator whose folder is full stops and says so; the others go on, and with room again it is
// back, knowing all.
func folderFull(t T, r *Rig) {
	full := r.Coordinators[2]
	full.Kill()
	full.Limit(64 << 10)
	mark := full.Mark()
	if err := full.Start(); err == nil {
		stop := r.Load()
		_, err = full.Await(mark, "can't be written")
		stop()
		check(t, err)
	}
	check(t, r.Propose("one", second, 0, false))
	awaitStage(t, r, "one", statemachine.InForce)
	full.Limit(0)
	full.Kill()
	check(t, full.Start())
	awaitVersionAt(t, "it knows version 1", 1, full.Addr)
}

// A coordinator that is started on an older copy of its folder is refused while another knows better:
// it would go back on what it has acknowledged.
func olderFolder(t T, r *Rig) {
	check(t, r.Propose("one", second, 0, false))
	awaitStage(t, r, "one", statemachine.InForce)
	k := r.Coordinators[2]
	file := filepath.Join(r.Dir, k.Name, "keeper.db")
	k.Kill()
	old, err := os.ReadFile(file)
	check(t, err)
	check(t, k.Start())
	// What follows is taken in by all three: by the two others alone it would not be k3's.
	check(t, r.Propose("two", third, 1, false))
	awaitStage(t, r, "two", statemachine.InForce)
	awaitVersionAt(t, "it knows version 2", 2, k.Addr)
	k.Kill()
	whole, err := os.ReadFile(file)
	check(t, err)
	check(t, os.WriteFile(file, old, 0o600))
	mark := k.Mark()
	if err := k.Start(); err == nil {
		t.Error("it starts on an older copy")
	}
	_, err = k.Await(mark, "an older copy")
	check(t, err)
	check(t, os.WriteFile(file, whole, 0o600))
	check(t, k.Start())
	check(t, r.Propose("three", second, 2, false))
	awaitStage(t, r, "three", statemachine.InForce)
	awaitVersion(t, r, r.Dispatchers[0], 3)
}

// Two of three coordinators are lost for good with their folders. One is made anew of the third's: it
// says what may be lost, is alone, gives no lease before all that were given are over, uses no
// version twice, and takes others in.
func restore(t T, r *Rig) {
	stop := r.Load()
	defer stop()
	check(t, r.Propose("one", second, 0, false))
	awaitStage(t, r, "one", statemachine.InForce)
	awaitVersionEverywhere(t, r, 1)
	before := r.Coordinators
	for _, k := range before {
		k.Kill()
	}
	left := before[2]
	next, err := r.newCoordinator("k9", 9, nil)
	check(t, err)
	words := []string{"restore", "--config", filepath.Join(r.Dir, "k9.toml"), "--from", filepath.Join(r.Dir, left.Name)}
	if out := staff(t, r, 1, words...); !strings.Contains(out, "version 1 was in force by it, and is version 1001") || !strings.Contains(out, "nothing was done") {
		t.Errorf("restore without --accept-loss: %s", out)
	}
	staff(t, r, 0, append(words, "--accept-loss")...)
	if out := staff(t, r, 1, append(words, "--accept-loss")...); !strings.Contains(out, "holds a keeper already") {
		t.Errorf("restored twice: %s", out)
	}
	replaceCoordinators(t, r, next)
	awaitVersionEverywhere(t, r, 1001)
	tenth, addr, err := r.Join("k10", 10)
	check(t, err)
	staff(t, r, 0, "members", "add", "10", addr)
	check(t, r.Propose("two", third, 1001, false))
	awaitStage(t, r, "two", statemachine.InForce)
	awaitVersionEverywhere(t, r, 1002)
	if tenth.Addr == "" {
		t.Error("k10 does not serve")
	}
	formerCoordinatorsLead(t, r, before)
	check(t, r.Propose("three", second, 1002, false))
	awaitStage(t, r, "three", statemachine.InForce)
	awaitVersionEverywhere(t, r, 1003)
	checkNoOverlap(t, r)
	for _, k := range before {
		k.Kill()
	}
}

// replaceCoordinators starts a restored coordinator in place of all before, and leads k1's name to it, as operators do.
func replaceCoordinators(t T, r *Rig, next *Process) {
	r.Coordinators = []*Process{next}
	check(t, next.Start())
	check(t, r.Reach())
	for ends, l := range r.relays {
		if ends[1] == "k1" {
			l.Target(next.Addr)
		}
	}
}

// formerCoordinatorsLead starts two of the three coordinators of before a restore, which lead among
// themselves: no dispatcher goes back to them.
func formerCoordinatorsLead(t T, r *Rig, before []*Process) {
	var marks []int
	for _, d := range r.Dispatchers {
		marks = append(marks, d.Mark())
	}
	for _, k := range before[1:] {
		check(t, k.Start())
	}
	awaitVersionAt(t, "those of before lead", 1, before[1].Addr, before[2].Addr)
	for i, d := range r.Dispatchers {
		r.Link(d.Name, "k1").Cut(true)
		_, err := d.Await(marks[i], "from before they were restored")
		check(t, err)
		r.Link(d.Name, "k1").Cut(false)
	}
}
