package sassafrasspur

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/connector"
	"github.com/sassafrasspur/sassafrasspur/internal/enroller"
	"github.com/sassafrasspur/sassafrasspur/platform"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const (
	// addressRetention is how long callers may keep an answer with addresses.
	// Some keep it three times as long.
	addressRetention = time.Second
	// leaveAfter is the time from the request to stop during which connections
	// are still accepted: the interval of the list of VMs and the longest time
	// for which callers keep an address.
	leaveAfter = 5 * time.Second
	// usualTime is the time in which almost all requests end. Routes of the known
	// deployments allow up to 6 s, which only a silent upstream takes.
	usualTime = 4 * time.Second
	// closePoll is the longest time until http.Server.Shutdown notices that the
	// last request has ended, 0.5 s, and the time to write its answer.
	closePoll = 600 * time.Millisecond
	// killMargin is the time before the process would be killed at which it
	// stops by itself. A VM that runs slowly needs more than half a second.
	killMargin = time.Second
	// idleSweep spaces the closing of idle connections to upstreams.
	idleSweep = 2 * time.Second
	// fallbackBody holds until the routes are known.
	fallbackBody unit.Bytes = 4 << 20
	// callerIdle is how long idle connections of callers stay open. Callers use
	// connections again that were idle for less than the operator's limit, 15 s
	// on the known deployments.
	callerIdle = time.Minute
)

// ingress serves the interface of the users' platform: requests, streams and
// turns, readiness, and the answer to which addresses to use.
type ingress struct {
	links *connector.Connector
	web   *http.Server
}

// finishBy is the time from the request to stop by which requests must have
// ended to be finished within the grace.
func (n *Node) finishBy() time.Duration {
	return max(0, n.settings.Ingress.Grace-killMargin-closePoll)
}

// serve answers callers and the platform's own checks.
func (i *ingress) serve(ctx context.Context, n *Node) {
	go i.sweepIdle(ctx, n)
	leaving := func() bool { return n.view().Leaving }
	ready := func() bool { return n.view().Routes != nil && !n.view().Leaving }
	addresses := func(d ident.Domain, r ident.Region) []string { return enroller.Addresses(n.view().Members, d, r) }
	maxBody := func() unit.Bytes {
		if routes := n.view().Routes; routes != nil && routes.Limits.BodyBytes > 0 {
			return routes.Limits.BodyBytes
		}
		return fallbackBody
	}
	i.web = n.serve(n.requests, platform.NewIngress(n.requestChain(), n.timers, leaving, maxBody), callerIdle)
	n.servers = append(n.servers,
		n.serve(n.readiness, platform.NewReadiness(ready), 0),
		n.serve(n.directory, platform.NewDirectory(addresses, addressRetention), 0))
}

// sweepIdle closes idle connections to upstreams.
func (i *ingress) sweepIdle(ctx context.Context, n *Node) {
	for ctx.Err() == nil {
		n.pause(ctx, idleSweep)
		i.links.CloseExpired()
	}
}

// leave ends the interface within the context, which ends with the grace.
func (i *ingress) leave(ctx context.Context, n *Node) error {
	n.pause(ctx, min(leaveAfter, n.settings.Ingress.Grace*2/3))
	return errors.Annotate(i.web.Shutdown(ctx), "callers were still served when the grace was over")
}
