package upstream

import (
	"github.com/sassafrasspur/sassafrasspur/ident"
)

// Upstream is one replica of a model engine or of a plain service.
type Upstream struct {
	ID      ident.UpstreamID `json:"id"`
	Pool    ident.PoolID     `json:"pool"`
	Address string           `json:"address"`
	Domain  ident.Domain     `json:"domain"`
	// Incarnation is the start of the upstream that registered.
	Incarnation ident.Incarnation `json:"incarnation,omitempty"`
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int `json:"slots"`
	// Leaving is true if the upstream must get no new work.
	Leaving bool `json:"leaving,omitempty"`
}
