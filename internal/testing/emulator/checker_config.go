package emulator

func (c *Checker) configured(version, base int64, body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, taken := c.bodies[version]; taken && known != body {
		c.violated("CONFIG", "two bodies are acknowledged under version %d", version)
	}
	if version <= c.latest {
		return // acknowledged again
	}
	if base != c.latest {
		c.violated("CONFIG", "version %d on top of %d is acknowledged, %d was current", version, base, c.latest)
	}
	c.latest, c.bodies[version] = version, body
}

// newestVersion returns the newest version acknowledged so far.
func (c *Checker) newestVersion() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.latest
}

// readBack judges what a read was answered that was sent when a version had been acknowledged.
func (c *Checker) readBack(acknowledged, version int64, body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version < acknowledged {
		c.violated("CONFIG", "version %d is read back, %d was acknowledged", version, acknowledged)
	}
	if want, known := c.bodies[version]; known && want != body {
		c.violated("CONFIG", "version %d reads back differently", version)
	}
}
