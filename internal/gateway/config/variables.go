package config

import (
	"fmt"
	"net"
	"strconv"
)

// applyVariables applies the platform's variables, which take precedence over its file:
// they are the addresses at which the platform reaches the process.
func (c *Config) applyVariables(env func(string) string) error {
	for _, v := range []struct {
		key      string
		to       *string
		required bool
	}{
		{"NODE_NAME", &c.Name, true},
		{"NODE_LISTEN", &c.Listen, true},
		{"NODE_DISCOVERY", &c.Discovery, false}, // Load checks whether it is needed
		{"NODE_CONSOLE", &c.Console, false},
	} {
		if s := env(v.key); s != "" {
			*v.to = s
		}
		if *v.to == "" && v.required {
			return fmt.Errorf("%s: missing", v.key)
		}
	}
	if err := checkAddress("NODE_LISTEN", c.Listen); err != nil {
		return err
	}
	if c.Discovery != "" {
		if err := checkAddress("NODE_DISCOVERY", c.Discovery); err != nil {
			return err
		}
	}
	if c.Console != "" {
		if err := checkAddress("NODE_CONSOLE", c.Console); err != nil {
			return err
		}
	}
	return c.applyListenFD(env("NODE_LISTEN_FD"))
}

func (c *Config) applyListenFD(text string) error {
	if text == "" {
		return nil
	}
	fd, err := strconv.ParseUint(text, 10, 16)
	if err != nil || fd < 3 { // 0 to 2 are the standard streams
		return fmt.Errorf("NODE_LISTEN_FD: %q is not a descriptor over 2", text)
	}
	c.ListenFD = int(fd)
	return nil
}

// checkAddress checks host:port. Port 0, any that is free, is no address of discovery.
func checkAddress(key, s string) error {
	_, port, err := net.SplitHostPort(s)
	if err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 && key == "NODE_DISCOVERY" {
		return fmt.Errorf("%s: port %q", key, port)
	}
	return nil
}
