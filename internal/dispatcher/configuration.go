package dispatcher

import (
	"sync/atomic"

	"yardflow/internal/control/configuration"
	"yardflow/internal/control/statemachine"
)

// configInForce is the configuration that applies to clients' calls. Its version never decreases.
type configInForce struct {
	parsed atomic.Pointer[configuration.Configuration]

	// The newest configuration received, which the next flush parses. These fields belong to the event loop.
	body        []byte
	bodyVersion int64 // 0 if there is none, or if the received configuration could not be used
}

// version returns the version in force, or 0 if no configuration is in force yet.
func (c *configInForce) version() int64 {
	if current := c.parsed.Load(); current != nil {
		return current.Version
	}
	return 0
}

// forgetBody drops the received configuration, so that the next session request asks for the whole configuration.
func (c *configInForce) forgetBody() { c.body, c.bodyVersion = nil, 0 }

// receiveConfig stores a new configuration, which is sent whole or as a patch to the previous version. Parsing is left to
// the next flush, so that only the newest of several queued configurations is parsed.
func (d *Dispatcher) receiveConfig(update *statemachine.ConfigUpdate) {
	if update.Version <= d.config.bodyVersion {
		return
	}
	body := update.Body
	if update.Patch != nil {
		patched, applies := update.Patch.Apply(d.config.body)
		if update.BaseVersion != d.config.bodyVersion || !applies {
			d.logger.Warn().Int64("version", update.Version).Int64("base", update.BaseVersion).
				Int64("here", d.config.bodyVersion).
				Msg("configuration patch has another base; requesting the whole configuration")
			d.config.forgetBody()
			d.uplink.reconnect()
			return
		}
		body = patched
	}
	d.config.body, d.config.bodyVersion = body, update.Version
}

// applyConfig parses the newest received configuration and puts it in force.
func (d *Dispatcher) applyConfig() {
	if d.config.bodyVersion <= d.config.version() {
		return
	}
	parsed, invalid := configuration.Parse(d.config.body)
	if invalid != nil {
		d.logger.Error().Str("fault", invalid.Error()).
			Msg("a configuration in force cannot be parsed")
		d.config.forgetBody()
		return
	}
	d.config.parsed.Store(parsed)
	d.logger.Info().Int64("version", parsed.Version).Msg("configuration in force")
}
