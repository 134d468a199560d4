package emulator

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"yardflow/coordination/frame"
	"yardflow/internal/control/protocol"
	"yardflow/internal/control/server"
	"yardflow/internal/control/statemachine"
)

// attach opens a session at a control machine, as a dispatcher without clients would, and keeps it until stop is closed.
func attach(y *Cluster, name, control string, stop <-chan struct{}) {
	conn, err := frame.Dial(y.Network.Machine(name), y.Address(control), protocol.DispatcherPath, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	conn.Send(protocol.Encode(protocol.DispatcherMessage{SessionRequest: &protocol.SessionRequest{Node: name, Zone: "z0", Incarnation: uint64(len(name)) + 7}}))
	go acknowledgeConfigurations(conn)
	beat := time.NewTicker(250 * time.Millisecond)
	defer beat.Stop()
	for {
		select {
		case <-beat.C:
			conn.Send(protocol.Encode(protocol.DispatcherMessage{}))
		case <-stop:
			conn.Send(protocol.Encode(protocol.DispatcherMessage{ShuttingDown: true}))
			time.Sleep(100 * time.Millisecond)
			return
		}
	}
}

// acknowledgeConfigurations reads what a control machine tells, and acknowledges each configuration.
func acknowledgeConfigurations(conn *frame.Conn) {
	for {
		data, err := conn.Receive(10 * time.Second)
		down := protocol.ControlMessage{}
		if err != nil || !protocol.Decode(data, &down) {
			return
		}
		for _, raw := range protocol.DecompressUpdates(down.Updates) {
			update := statemachine.Update{}
			if protocol.Decode(raw, &update) && update.Config != nil {
				conn.Send(protocol.Encode(protocol.DispatcherMessage{ConfigVersion: update.Config.Version}))
			}
		}
	}
}

// behind returns how many dispatchers have not acknowledged the configuration in force.
func behind(y *Cluster) int {
	count := 0
	for _, core := range y.Cores() {
		code, body := y.call(http.MethodGet, "http://"+y.Address(core.name)+"/-/status", "", time.Second, "")
		status := server.Status{}
		if code != http.StatusOK || json.Unmarshal([]byte(body), &status) != nil {
			return -1
		}
		count += status.DispatchersBehind
	}
	return count
}

// TestConfigurationOvertakesABurst has hundreds of sessions come and go, which all dispatchers are told of, while one
// dispatcher's link carries 2 Mbit/s. A change of the configuration must be in force there within a second.
func TestConfigurationOvertakesABurst(t *testing.T) {
	const (
		slow     = 250_000 // bytes a second
		crowd    = 300
		rounds   = 3
		within   = time.Second
		lookEach = 20 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		network := NewNetwork()
		network.SetSpeed("front-1", slow)
		y := NewCluster(Shape{Cores: 3, Tolerate: 1, Dispatchers: 2, Workers: 200}, network, 1, io.Discard)
		y.Start()
		y.Operator.Configure()
		time.Sleep(warmUp)
		for round := range rounds {
			stop := make(chan struct{})
			for i := range crowd {
				go attach(y, fmt.Sprintf("crowd-%d-%d", round, i), "core-2", stop)
			}
			time.Sleep(300 * time.Millisecond)
			if !y.Operator.Configure() {
				t.Error("a configuration is not taken")
			}
			began := time.Now()
			for behind(y) != 0 && time.Since(began) < 10*time.Second {
				time.Sleep(lookEach)
			}
			t.Logf("round %d: in force after %v", round, time.Since(began))
			if took := time.Since(began); took > within {
				t.Errorf("round %d: the configuration is in force after %v", round, took)
			}
			close(stop)
		}
		y.Stop()
		time.Sleep(20 * time.Second) // timers run out
	})
}
