// Package news has what entry VMs tell each other by gossip.
package news

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
)

// News is what one entry VM knows.
type News struct {
	VM      ident.VMID    `json:"vm"`
	Version ident.Version `json:"version"`
	// Age is the time since the start of the read by which Version was last
	// known to be current. It is sent in nanoseconds, since rounding down would
	// make the knowledge look fresher than it is.
	Age time.Duration `json:"age_ns"`
	// Configuration is set if the sender sends it as a whole.
	Configuration *configuration.Configuration `json:"configuration,omitempty"`
	// Leaving lists upstreams that the sender knows to be leaving.
	Leaving []ident.UpstreamID `json:"leaving"`
}
