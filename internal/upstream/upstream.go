package upstream

import (
	"github.com/sassafrasspur/sassafrasspur/ident"
)

// Upstream is one replica of a model engine or of a plain service.
type Upstream struct {
	ID      ident.UpstreamID
	Pool    ident.PoolID
	Address string
	Domain  ident.Domain
	// Slots is the number of requests that run at once.
	Slots int
	// Leaving upstreams get no new work.
	Leaving bool
}
