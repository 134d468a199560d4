package emulator

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// configState is the model of the configuration API: what is in force, and all that ever was, as text.
type configState struct {
	version int64
	body    string
	taken   string // "version:body;" of each, in order
}

func acceptedKey(call *ConfigCall) string { return fmt.Sprintf("%d:%s;", call.Version, call.Body) }

// put returns what may have become of a change: it is acknowledged, and in force or again acknowledged; or it is
// refused; and without a clear answer either of both.
func (s configState) put(call *ConfigCall) []any {
	again := strings.Contains(s.taken, acceptedKey(call))
	fits := call.Base == s.version && call.Version > s.version
	after := s
	if !again && fits {
		after = configState{call.Version, call.Body, s.taken + acceptedKey(call)}
	}
	switch {
	case call.Status == http.StatusOK && (again || fits):
		return []any{after}
	case call.Status == http.StatusOK:
		return nil
	case call.Clear():
		if again || fits {
			return nil
		}
		return []any{s}
	case fits && !again:
		return []any{s, after}
	}
	return []any{s}
}

// configModel is checked against the histories of operators who change and read at all control machines.
var configModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{configState{}} },
	Step: func(state, input, _ any) []any {
		s, call := state.(configState), input.(*ConfigCall)
		switch {
		case call.Put:
			return s.put(call)
		case call.Status == http.StatusOK && call.Read != s.body:
			return nil
		case call.Status == http.StatusNotFound && s.version > 0:
			return nil
		}
		return []any{s}
	},
	Equal: func(a, b any) bool { return a == b },
}

// operations makes a history of a schedule's calls. A change without a clear answer may take effect at any later
// time; a read without one says nothing.
func operations(calls []ConfigCall) []porcupine.Operation {
	var list []porcupine.Operation
	for i := range calls {
		call := &calls[i]
		to := int64(call.To)
		if !call.Clear() {
			if !call.Put {
				continue
			}
			to = math.MaxInt64
		}
		list = append(list, porcupine.Operation{ClientId: i, Input: call, Call: int64(call.From), Return: to})
	}
	return list
}

// coreFaults plays what befalls the control machines alone.
func coreFaults(y *Cluster, random *rand.Rand, end time.Time) {
	kinds := []string{"core killed", "core without power", "core cut off", "all cores killed", "core replaced",
		"core cut into halves", "core cut off from the core for 20 s", "every connection reset"}
	for time.Now().Before(end) {
		name := kinds[random.IntN(len(kinds))]
		for _, kind := range disruptions {
			if kind.name == name {
				kind.play(y, random, time.Duration(500+random.IntN(2000))*time.Millisecond)
			}
		}
		time.Sleep(catchUp)
	}
}

// TestConfigurationHistories checks what operators saw at all control machines, with lost answers, races under one
// number, resends and cuts, for an order of the calls in which each takes effect once.
func TestConfigurationHistories(t *testing.T) {
	const within = 20 * time.Second
	for seed := uint64(500); seed < 500+historiesInTest; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			result := play(t, shapeOf(seed), seed, coreFaults, io.Discard)
			for _, broken := range result.Broken {
				t.Error(broken)
			}
			history := operations(result.calls)
			if len(history) < 30 {
				t.Fatalf("only %d calls: they show little", len(history))
			}
			model := configModel.ToModel()
			if checked := porcupine.CheckOperationsTimeout(model, history, within); checked != porcupine.Ok {
				t.Errorf("%d calls: %s", len(history), checked)
			}
		})
	}
}

// TestHistoryOfAStaleAnswer shows that the check finds a read that is older than an acknowledgement, two changes
// acknowledged under one number, and an acknowledged change that is refused.
func TestHistoryOfAStaleAnswer(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	first := ConfigCall{Put: true, Version: 3, Body: "a", Status: 200, From: ms(0), To: ms(10)}
	second := ConfigCall{Put: true, Version: 5, Base: 3, Body: "b", Status: 200, From: ms(20), To: ms(30)}
	cases := []struct {
		name  string
		calls []ConfigCall
		want  porcupine.CheckResult
	}{
		{"in order", []ConfigCall{first, second, {Status: 200, Read: "b", From: ms(40), To: ms(50)}}, porcupine.Ok},
		{"a stale read", []ConfigCall{first, second, {Status: 200, Read: "a", From: ms(40), To: ms(50)}}, porcupine.Illegal},
		{"two under one number", []ConfigCall{first, second,
			{Put: true, Version: 5, Base: 3, Body: "c", Status: 200, From: ms(20), To: ms(30)}}, porcupine.Illegal},
		{"acknowledged, then refused", []ConfigCall{first, second,
			{Put: true, Version: 5, Base: 3, Body: "b", Status: 412, From: ms(40), To: ms(50)}}, porcupine.Illegal},
		{"one without an answer takes effect late", []ConfigCall{first,
			{Put: true, Version: 5, Base: 3, Body: "b", From: ms(20), To: ms(30)},
			{Status: 200, Read: "a", From: ms(40), To: ms(50)}, {Status: 200, Read: "b", From: ms(60), To: ms(70)}}, porcupine.Ok},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := porcupine.CheckOperationsTimeout(configModel.ToModel(), operations(c.calls), time.Second); got != c.want {
				t.Errorf("checked %s, want %s", got, c.want)
			}
		})
	}
}
