package configchecker

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/clientaccount"
	"github.com/sassafrasspur/sassafrasspur/internal/routing"
)

// Document is a configuration as it was written: with duplicates and in its order, which
// a routing.Table does not keep.
type Document struct {
	Version ident.Version
	Routes  []Route
	Pools   []routing.Pool
	// Accounts is nil if the document does not list accounts, and empty if it lists none.
	Accounts []clientaccount.Entry
	Limits   routing.Limits
}

// Route is a route with the properties of streams, which a document may give to a route
// of another kind.
type Route struct {
	routing.Route
	Retention time.Duration
	Gap       time.Duration
}

// table returns the routes as entry VMs use them.
func (d *Document) table() *routing.Table {
	routes := make([]routing.Route, len(d.Routes))
	for i, r := range d.Routes {
		routes[i] = r.Route
	}
	return routing.New(d.Version, routes, d.Pools, d.Limits)
}
