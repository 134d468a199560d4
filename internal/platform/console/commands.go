package console

import (
	"errors"
	"strings"
)

// knownCalls ends the answers to calls that are not understood.
const knownCalls = "; readyz, exclude ID, include ID, sources, worker ID, room and policy are known"

// execute executes one call and returns the text of its answer.
func (c *Console) execute(line string) (string, error) {
	words := strings.Fields(line)
	if len(words) == 0 {
		return "", errors.New("no call" + knownCalls)
	}
	name, args := words[0], words[1:]
	if command := c.commandWithoutArgument(name); command != nil {
		if len(args) != 0 {
			return "", errors.New(name + " takes nothing more")
		}
		text, err := command()
		return oneLine.Replace(text), err
	}
	command := c.commandOnWorker(name)
	if command == nil {
		return "", errors.New("unknown call" + knownCalls)
	}
	if len(args) != 1 {
		return "", errors.New(name + " takes one id")
	}
	text, err := command(args[0])
	return oneLine.Replace(text), err
}

// commandWithoutArgument returns a command by its name, nil if there is none.
func (c *Console) commandWithoutArgument(name string) func() (string, error) {
	switch name {
	case "readyz":
		return func() (string, error) { return "ready", c.operations.Ready() }
	case "sources":
		return c.operations.DescribeSources
	case "room":
		return c.operations.DescribeReservations
	case "policy":
		return c.operations.DescribePolicy
	}
	return nil
}

// commandOnWorker returns a command that takes a worker's name, nil if there is none.
func (c *Console) commandOnWorker(name string) func(worker string) (string, error) {
	switch name {
	case "worker":
		return c.operations.DescribeWorker
	case "exclude":
		return func(worker string) (string, error) { return "exclude " + worker, c.operations.Exclude(worker) }
	case "include":
		return func(worker string) (string, error) { return "include " + worker, c.operations.Include(worker) }
	}
	return nil
}
