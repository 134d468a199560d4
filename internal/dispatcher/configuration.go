package dispatcher

import (
	"sync/atomic"

	"yardflow/internal/control/configuration"
	"yardflow/internal/control/statemachine"
)

// configInForce is the configuration that clients' calls go by. Its version never goes back.
type configInForce struct {
	parsed atomic.Pointer[configuration.Configuration]

	// The newest one received, of which parsed is a former version until the next flush. They belong to the event loop.
	body        []byte
	bodyVersion int64 // 0: none, or the one received could not be used
}

// version returns the version in force, 0 before there is one.
func (c *configInForce) version() int64 {
	if current := c.parsed.Load(); current != nil {
		return current.Version
	}
	return 0
}

// forgetBody makes the next session request ask for the whole configuration.
func (c *configInForce) forgetBody() { c.body, c.bodyVersion = nil, 0 }

// receiveConfig takes in a new configuration, whole or as a patch of the one before. The next flush parses it, so that of
// several that come at once only the newest is parsed.
func (d *Dispatcher) receiveConfig(update *statemachine.ConfigUpdate) {
	if update.Version <= d.config.bodyVersion {
		return
	}
	body := update.Body
	if update.Patch != nil {
		patched, fits := update.Patch.Apply(d.config.body)
		if update.BaseVersion != d.config.bodyVersion || !fits {
			d.logger.Warn().Int64("version", update.Version).Int64("base", update.BaseVersion).Int64("here", d.config.bodyVersion).
				Msg("configuration patch has another base; requesting the whole configuration")
			d.config.forgetBody()
			d.uplink.reconnect()
			return
		}
		body = patched
	}
	d.config.body, d.config.bodyVersion = body, update.Version
}

// applyConfig puts the newest configuration received in force.
func (d *Dispatcher) applyConfig() {
	if d.config.bodyVersion <= d.config.version() {
		return
	}
	parsed, fault := configuration.Parse(d.config.body)
	if fault != nil {
		d.logger.Error().Str("fault", fault.Error()).Msg("a configuration in force cannot be parsed")
		d.config.forgetBody()
		return
	}
	d.config.parsed.Store(parsed)
	d.logger.Info().Int64("version", parsed.Version).Msg("configuration in force")
}
