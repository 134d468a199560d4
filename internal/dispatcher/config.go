package dispatcher

import (
	"yardflow/internal/control/configuration"
	"yardflow/internal/control/statemachine"
)

// setConfig takes in a configuration that is in force from now on. It is read by the next flush, so that of many
// that come at once only the newest is.
func (d *Dispatcher) setConfig(update *statemachine.ConfigUpdate) {
	if update.Version <= d.bodyVersion {
		return // a process never goes back
	}
	body := update.Body
	if update.Patch != nil {
		made, fits := update.Patch.Apply(d.body)
		if update.BaseVersion != d.bodyVersion || !fits {
			d.logger.Warn().Int64("version", update.Version).Int64("base", update.BaseVersion).Int64("here", d.bodyVersion).
				Msg("a change of the configuration builds on another one; asking for the whole")
			d.body, d.bodyVersion = nil, 0
			d.uplink.reconnect()
			return
		}
		body = made
	}
	d.body, d.bodyVersion = body, update.Version
}

// readConfig puts the newest configuration told in force here.
func (d *Dispatcher) readConfig() {
	if d.bodyVersion <= d.configInForce() {
		return
	}
	read, fault := configuration.Parse(d.body)
	if fault != nil {
		d.logger.Error().Str("fault", fault.Error()).Msg("a configuration in force can't be read")
		d.body, d.bodyVersion = nil, 0
		return
	}
	d.config.Store(read)
	d.logger.Info().Int64("version", read.Version).Msg("configuration in force")
}

// configInForce returns the version of the configuration in force here, 0 before there is one.
func (d *Dispatcher) configInForce() int64 {
	if current := d.config.Load(); current != nil {
		return current.Version
	}
	return 0
}
