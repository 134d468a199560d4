package emulator

import (
	"fmt"
	"net/http"
	"time"
)

// Configure puts a configuration in force, at any control machine that answers, until it is taken.
func (y *Yard) Configure() bool {
	base := y.version
	version := base + 1 + int64(y.random.IntN(3))
	body := fmt.Sprintf(`{"Version":%d,"Routes":[{"Host":"%s","PathPrefix":"%s","Service":"%s","TimeoutMs":3000,`+
		`"MaxAttempts":%d,"TargetLatencyMs":%d}],"Services":[{"Name":"%s","Guards":%v}]}`,
		version, routeHost, route, service, attempts, 100+version, service, y.Shape.Guards)
	for range 40 {
		core := y.cores[y.random.IntN(len(y.cores))]
		status, _ := y.call(http.MethodPut, "http://"+core.name+":1/-/config", body, time.Second, fmt.Sprint(base))
		switch status {
		case http.StatusOK:
			y.Judge.configured(version, base, body)
			y.version = version
			return true
		case http.StatusPreconditionFailed, http.StatusBadRequest:
			y.Judge.note("CONFIG", "a proper change to %d is refused with %d", version, status)
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// ReadBack reads the configuration at the end.
func (y *Yard) ReadBack() {
	for range 40 {
		core := y.cores[y.random.IntN(len(y.cores))]
		if status, body := y.call(http.MethodGet, "http://"+core.name+":1/-/config", "", time.Second, ""); status == http.StatusOK {
			version := int64(0)
			fmt.Sscanf(body, `{"Version":%d`, &version)
			y.Judge.readBack(version, body)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	y.Judge.note("CONFIG", "the configuration can't be read back")
}
