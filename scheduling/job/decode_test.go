package job

import (
	"encoding/json"
	"errors"
	"runtime"
	"strings"
	"testing"
)

// TestTooManyStepsAreNotDecoded guards against bodies of legal size that take fifty times their size when they are decoded.
func TestTooManyStepsAreNotDecoded(t *testing.T) {
	body := []byte(`{"Spec":"","Steps":[{}` + strings.Repeat(",{}", 87_000) + `]}`)
	before, after := runtime.MemStats{}, runtime.MemStats{}
	runtime.ReadMemStats(&before)
	request := Request{}
	err := json.Unmarshal(body, &request)
	runtime.ReadMemStats(&after)
	var tooMany *TooManyStepsError
	if !errors.As(err, &tooMany) || len(request.Steps) > 0 {
		t.Errorf("%d steps decoded, error %v", len(request.Steps), err)
	}
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > uint64(len(body)) {
		t.Errorf("%d bytes allocated for a body of %d", allocated, len(body))
	}
}

func TestAllAllowedStepsAreDecoded(t *testing.T) {
	body := `{"Spec":"x","Steps":[{"Count":1}` + strings.Repeat(`,{"Count":1}`, maxSteps-1) + `]}`
	request := Request{}
	if err := json.Unmarshal([]byte(body), &request); err != nil || !request.Valid() {
		t.Errorf("%d steps, error %v", len(request.Steps), err)
	}
	if bytes := request.MemoryBytes(); bytes < maxSteps*100 {
		t.Errorf("%d steps take %d bytes", maxSteps, bytes)
	}
}
