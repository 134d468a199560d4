package httpfront

// This file reads the load reports that workers send.

import "encoding/json"

// loadAliases gives the name that a value has on the other of the two wires: the settings use the simulator's names,
// workers those of their own protocol.
var loadAliases = map[string]string{
	"cpu":     "util",
	"err_rps": "eps",
	"active":  "inflight",
	"waiting": "queue",
	"avg_ms":  "latency_ms",
	"rps":     "qps",
}

// HeaderLoad returns the load report of the response's head; nil where it has none.
func (x *Exchange) HeaderLoad() []float64 {
	return x.ParseLoad([]byte(x.Header.Get("X-Server-Load")))
}

// ParseLoad reads a load report, a JSON object of numbers, into the order of the settings' columns; nil where it is none.
func (x *Exchange) ParseLoad(text []byte) []float64 { return parseLoad(x.cfg.LoadColumns, text) }

// parseLoad returns a report's values in the order of columns. A report that lacks one of them is none.
func parseLoad(columns []string, text []byte) []float64 {
	if len(text) == 0 || len(columns) == 0 {
		return nil
	}
	var report map[string]float64
	if json.Unmarshal(text, &report) != nil {
		return nil
	}
	values := make([]float64, 0, len(columns))
	for _, name := range columns {
		v, ok := report[name]
		if !ok {
			if v, ok = report[loadAliases[name]]; !ok {
				return nil
			}
		}
		values = append(values, v)
	}
	return values
}
