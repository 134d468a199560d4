package harness

import "fmt"

// recorder is the T of whoever plays a scenario without a test: it prints what is logged, and keeps what is wrong.
type recorder struct {
	print  func(text string)
	errors []string
}

// scenarioEnd is the panic by which Fatal ends a scenario.
type scenarioEnd struct{}

func (r *recorder) Helper()                         {}
func (r *recorder) Logf(format string, args ...any) { r.print(fmt.Sprintf(format, args...)) }
func (r *recorder) Error(args ...any) {
	text := fmt.Sprint(args...)
	r.errors = append(r.errors, text)
	r.print("WRONG: " + text)
}
func (r *recorder) Errorf(format string, args ...any) { r.Error(fmt.Sprintf(format, args...)) }
func (r *recorder) Fatal(args ...any)                 { r.Error(args...); panic(scenarioEnd{}) }
func (r *recorder) Fatalf(format string, args ...any) { r.Fatal(fmt.Sprintf(format, args...)) }

// Record plays the scenario without a test, and returns what was wrong. What it logs goes to print as it comes.
func (s Scenario) Record(c Config, print func(text string)) []string {
	r := &recorder{print: print}
	func() {
		defer func() {
			if v := recover(); v != nil && v != (scenarioEnd{}) {
				panic(v)
			}
		}()
		s.Run(r, c)
	}()
	return r.errors
}
