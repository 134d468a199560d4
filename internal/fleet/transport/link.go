// Package transport carries commands and answers between the keepers and whoever calls them: HTTP/1.1
// and one codec, reads bounded, any keeper as good as another. Doubled and late messages are the
// state's to tell apart (package keeper); here nothing is sent again after it may have arrived
// but as a new call.
//
// It must never make a request of a client's wait: whoever admits work asks Holder.Admits, which
// waits for nobody.
package transport

import (
	"time"
)

const (
	doPath    = "/v1/do"
	watchPath = "/v1/watch"
	statePath = "/v1/state"
	membsPath = "/v1/members"

	maxCall   = 1 << 20 // a command
	maxAnswer = 16 << 20
	maxWait   = 30 * time.Second // of a watch
)
