package view

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// recoveryTime is after how long service has to go on.
const recoveryTime = 12 * time.Second

// maxSurvived returns how many times something can be done in a row with service going on afterwards, up to a bound.
func maxSurvived(bound int, do func(count int) bool) string {
	for count := 1; count <= bound; count++ {
		if !do(count) {
			return fmt.Sprint(count - 1)
		}
	}
	return fmt.Sprint(bound, " or more")
}

// lossScenario is a way in which so many machines or disks are lost.
type lossScenario struct {
	what string
	play func(c *timedCluster, count int)
}

var lossScenarios = []lossScenario{
	{"gone at once, nobody comes", func(c *timedCluster, count int) { c.lose(count) }},
	{"gone one each 3 s, nobody comes", func(c *timedCluster, count int) {
		for range count {
			c.lose(1)
			c.run(3 * time.Second)
		}
	}},
	{"gone at once, successors 1 s later", func(c *timedCluster, count int) {
		c.lose(count)
		c.run(time.Second)
		for range count {
			c.newcomer("")
		}
	}},
	{"gone one each 5 s, a successor 1 s after each", func(c *timedCluster, count int) {
		for range count {
			c.lose(1)
			c.run(time.Second)
			c.newcomer("")
			c.run(4 * time.Second)
		}
	}},
	{"disks lost one each 5 s, back after 1 s", func(c *timedCluster, count int) {
		for range count {
			address := c.newestView().Chain[0].Address
			c.lose(1)
			c.run(time.Second)
			c.newcomer(address)
			c.run(4 * time.Second)
		}
	}},
	{"replaced in order one each 5 s, the successor 1 s before", func(c *timedCluster, count int) {
		for range count {
			c.newcomer("")
			c.run(time.Second)
			c.leave(4 * time.Second)
			c.run(4 * time.Second)
		}
	}},
	{"replaced in order, and so many gone 0.2 s after", func(c *timedCluster, count int) {
		c.newcomer("")
		c.run(time.Second)
		c.leave(4 * time.Second)
		c.run(2 * heartbeatInterval)
		c.lose(count)
	}},
	{"gone, its successor 1 s later, and so many more gone 4 s after that", func(c *timedCluster, count int) {
		c.lose(1)
		c.run(time.Second)
		c.newcomer("")
		c.run(4 * time.Second)
		c.lose(count)
	}},
	{"all dark at once, so many of their disks lost, all back", func(c *timedCluster, count int) { c.powerOutage(count) }},
}

// TestLosses makes the table of losses that are survived, for 3, 5 and 9 control machines.
func TestLosses(t *testing.T) {
	lines := []string{fmt.Sprintf("%-70s %10s %10s %10s", "", "3, bear 1", "5, bear 2", "9, bear 2")}
	for _, row := range lossScenarios {
		line := fmt.Sprintf("%-70s", row.what)
		for _, shape := range [][2]int{{3, 1}, {5, 2}, {9, 2}} {
			survived := maxSurvived(6, func(count int) bool {
				if count > shape[0] && strings.Contains(row.what, "so many") || count >= shape[0] && strings.Contains(row.what, "at once") {
					return false
				}
				c := newTimedCluster(shape[0], shape[1])
				row.play(c, count)
				c.run(recoveryTime)
				return c.canAcknowledge()
			})
			line += fmt.Sprintf(" %10s", survived)
		}
		lines = append(lines, line)
	}
	goldie.New(t).Assert(t, t.Name(), []byte(strings.Join(lines, "\n")+"\n"))
}
