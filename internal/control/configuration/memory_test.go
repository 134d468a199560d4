package configuration

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// TestParsingTakesNoMoreMemoryThanForetold parses bodies of many small values, which take far more memory than their text.
func TestParsingTakesNoMoreMemoryThanForetold(t *testing.T) {
	list := func(entry string, count int) string {
		return `{"Version":1,"Routes":[` + strings.TrimSuffix(strings.Repeat(entry+",", count), ",") + `]}`
	}
	route := `{"Name":"r","Host":"h.example","PathPrefix":"/q/","Kind":"unsafe","TimeoutMs":3000,"TargetLatencyMs":1000,"Priority":1,` +
		`"Service":"s","MaxAttempts":3,"Stretch":2.2}`
	members := &strings.Builder{}
	for i := range 100_000 {
		fmt.Fprintf(members, `"%d":0,`, i)
	}
	cases := map[string]string{
		"empty objects":    list(`{}`, 100_000),
		"small objects":    list(`{"":0}`, 100_000),
		"numbers":          list(`0`, 300_000),
		"strings":          list(`"x"`, 100_000),
		"empty lists":      list(`[]`, 100_000),
		"routes":           list(route, 4000),
		"one large object": `{` + members.String() + `"Version":1}`,
	}
	for name, body := range cases {
		before, after := runtime.MemStats{}, runtime.MemStats{}
		runtime.GC()
		runtime.ReadMemStats(&before)
		value, err := parseJSON([]byte(body))
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(value)
		held, foretold := int64(after.HeapAlloc)-int64(before.HeapAlloc), ParsingMemory([]byte(body))
		if err != nil || held > foretold {
			t.Errorf("%s: %d bytes held, %d foretold, error %v", name, held, foretold, err)
		}
		t.Logf("%s: %d bytes of text, %d held, %d foretold", name, len(body), held, foretold)
	}
}
