package broker

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"yardflow/internal/testing/standin/machine"
	"yardflow/internal/testing/standin/worker"
	"yardflow/scheduling/backfill"
	"yardflow/scheduling/dispatch"
)

// Reservations are made through the broker, in virtual time, on stand-in workers: half of the maximum while two processes
// share the dispatcher, none once new settings have none, and again when they come back. No unsafe job runs twice.
func TestReservationsThroughBroker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testSettings()
		s.Workers.StartNotifications, s.Workers.FIFO, s.Attempts.Cancellation = true, true, true
		s.Classes[0].LatencyTarget, s.Classes[1].LatencyTarget = 600*time.Millisecond, 4*time.Second
		plan := backfill.DefaultSettings()
		plan.MaxReservations = 2
		s.Backfill = &plan
		b, err := New(s, 1, nil, func(string) {})
		if err != nil {
			t.Fatal(err)
		}
		engines := map[string]*worker.Engine{}
		var list []Worker
		for _, id := range []string{"a", "b", "c"} {
			engines[id] = worker.NewEngine(machine.New(2, 16, 1))
			list = append(list, Worker{ID: id, Addr: id, Weight: 1})
		}
		b.UpdateWorkers(dispatch.ListFull, list)
		var twice atomic.Int64
		do := func(class int, slots int, work time.Duration) AttemptFunc {
			runs := 0
			return func(ctx context.Context, a *Attempt) Outcome {
				e := engines[a.Addr]
				id, news := e.Submit(slots, work)
				for {
					select {
					case n := <-news:
						switch n.Kind {
						case machine.Started:
							if runs++; runs > 1 && class == 0 {
								twice.Add(1)
							}
							a.ReportStarted()
						case machine.Done:
							return Outcome{Code: OK}
						case machine.Returned:
							return Outcome{Code: Rejected}
						default:
							return Outcome{Code: ConnectionLost}
						}
					case <-ctx.Done():
						e.Cancel(id)
						return Outcome{Code: TimedOut}
					}
				}
			}
		}
		var wg sync.WaitGroup
		most := 0
		// stretch runs a stream of small jobs, with a large one now and then, for some time.
		stretch := func(length time.Duration) {
			most = 0
			for began, n := time.Now(), 0; time.Since(began) < length; n++ {
				class, slots, work := 0, 1, 300*time.Millisecond
				if n%12 == 11 {
					class, slots, work = 1, 2, 800*time.Millisecond
				}
				wg.Go(func() {
					b.Serve(context.Background(), Request{Class: class, Deadline: time.Now().Add(5 * time.Second), Slots: float64(slots)},
						do(class, slots, work))
				})
				time.Sleep(62 * time.Millisecond)
				if held, err := b.Reservations(time.Second); err == nil {
					most = max(most, len(held.Reservations))
				}
			}
		}
		stretch(15 * time.Second)
		if most != plan.MaxReservations {
			t.Errorf("capacity is reserved for %d jobs at once, want %d", most, plan.MaxReservations)
		}
		b.SetReservationShare(0.5) // a second process has come
		time.Sleep(plan.ReservationTTL)
		if stretch(10 * time.Second); most != 1 {
			t.Errorf("capacity is reserved for %d jobs by one of two processes, want 1", most)
		}
		off := s
		off.Backfill = nil
		if err := b.Reconfigure(off); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
		if _, err := b.Reservations(time.Second); err == nil {
			t.Error("reservations under settings without")
		}
		if stretch(3 * time.Second); most != 0 {
			t.Errorf("capacity is reserved for %d jobs under settings without", most)
		}
		if err := b.Reconfigure(s); err != nil {
			t.Fatal(err)
		}
		if stretch(15 * time.Second); most != 1 { // still one of two processes
			t.Errorf("capacity is reserved for %d jobs after reservations came back, want 1", most)
		}
		wg.Wait()
		if n := twice.Load(); n > 0 {
			t.Errorf("%d unsafe jobs ran twice", n)
		}
		if held, err := b.Reservations(time.Second); err != nil || len(held.Reservations) > 0 {
			t.Errorf("%+v is left, %v", held, err)
		}
		b.Close()
		time.Sleep(time.Second)
	})
}
