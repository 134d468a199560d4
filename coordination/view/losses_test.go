package view

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// recoveryTime is the time within which the cluster must recover from losses.
const recoveryTime = 12 * time.Second

// maxSurvived returns the greatest count, up to a bound, such that survives returns true for it and all lower counts.
func maxSurvived(bound int, survives func(count int) bool) string {
	for count := 1; count <= bound; count++ {
		if !survives(count) {
			return fmt.Sprint(count - 1)
		}
	}
	return fmt.Sprint(bound, " or more")
}

// lossScenario is a way in which a number of machines or disks is lost.
type lossScenario struct {
	description string
	apply       func(c *timedCluster, count int)
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

// TestLosses compares the number of losses that 3, 5 and 9 control machines survive in each scenario with a golden table.
// In its header, "bear" precedes the number of lost disks that the log has to survive.
func TestLosses(t *testing.T) {
	lines := []string{fmt.Sprintf("%-70s %10s %10s %10s", "", "3, bear 1", "5, bear 2", "9, bear 2")}
	for _, row := range lossScenarios {
		line := fmt.Sprintf("%-70s", row.description)
		for _, size := range [][2]int{{3, 1}, {5, 2}, {9, 2}} {
			survived := maxSurvived(6, func(count int) bool {
				if count > size[0] && strings.Contains(row.description, "so many") || count >= size[0] && strings.Contains(row.description, "at once") {
					return false
				}
				c := newTimedCluster(size[0], size[1])
				row.apply(c, count)
				c.run(recoveryTime)
				return c.canAcknowledge()
			})
			line += fmt.Sprintf(" %10s", survived)
		}
		lines = append(lines, line)
	}
	goldie.New(t).Assert(t, t.Name(), []byte(strings.Join(lines, "\n")+"\n"))
}
