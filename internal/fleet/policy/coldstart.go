package policy

import (
	"time"

	"yardflow/internal/fleet/coldstart"
	"yardflow/internal/fleet/coldstart/admission"
)

// defaultTokenWindow is for how long an admission token may be used where the document says nothing: 100 ms.
const defaultTokenWindow = 100 * time.Millisecond

// ColdStart is how a fleet starts when no dispatcher knows the list of workers: by admission tokens for calls to the list
// service, and by one reader of it for each zone.
type ColdStart struct {
	CallsPerSecond int      `toml:"calls"`           // that the list service is stated to take
	TokenWindow    Duration `toml:"use,omitempty"`   // for how long a token may be used; 0: defaultTokenWindow
	RelayList      *bool    `toml:"relay,omitempty"` // one dispatcher of a zone reads the list for all others; nil: yes
}

// ColdStartSettings are the settings of cold starts; nil: each dispatcher starts by itself.
func (d *Document) ColdStartSettings() *coldstart.Settings {
	stated := d.ColdStart
	if stated == nil {
		return nil
	}
	s := &coldstart.Settings{Settings: admission.Settings{CallsPerSecond: stated.CallsPerSecond, TokenWindow: defaultTokenWindow}, RelayList: true}
	orElse(&s.TokenWindow, time.Duration(stated.TokenWindow))
	if stated.RelayList != nil {
		s.RelayList = *stated.RelayList
	}
	return s
}
