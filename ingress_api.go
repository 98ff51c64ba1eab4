package sassafrasspur

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/connector"
	"github.com/sassafrasspur/sassafrasspur/internal/enroller"
	"github.com/sassafrasspur/sassafrasspur/internal/keychecker"
	"github.com/sassafrasspur/sassafrasspur/internal/quotaassigner"
	"github.com/sassafrasspur/sassafrasspur/internal/quotagranter"
	"github.com/sassafrasspur/sassafrasspur/internal/quotakeeper"
	"github.com/sassafrasspur/sassafrasspur/internal/quotataker"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/stopper"
	"github.com/sassafrasspur/sassafrasspur/platform"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const (
	// addressRetention is how long callers may cache an answer that lists
	// addresses. Some callers cache it three times as long.
	addressRetention = time.Second
	// shutdownDelay is how long connections are still accepted after the shutdown
	// request. It covers the interval at which the list of VMs is read plus the
	// longest time for which callers cache an address.
	shutdownDelay = 5 * time.Second
	// typicalRequestTime is the time within which almost all requests complete.
	// Routes of the known deployments allow up to 6 s, which a request only takes
	// if its upstream is silent.
	typicalRequestTime = 4 * time.Second
	// shutdownPollDelay is the time until http.Server.Shutdown notices that the
	// last request has completed, up to 0.5 s, plus the time to write its response.
	shutdownPollDelay = 600 * time.Millisecond
	// killMargin is how long before the end of the grace period, when the process
	// would be killed, it exits by itself. A slow VM needs more than 0.5 s.
	killMargin = time.Second
	// idleSweepInterval is the interval at which expired idle connections to
	// upstreams are closed.
	idleSweepInterval = 2 * time.Second
	// defaultMaxBody limits request bodies if the routes are unknown or set no limit.
	defaultMaxBody unit.Bytes = 4 << 20
	// callerIdleTimeout is how long idle connections of callers stay open. It must
	// exceed the idle time after which callers stop reusing a connection, which the
	// operator sets: 15 s on the known deployments.
	callerIdleTimeout = time.Minute
)

// ingressAPI serves the API of the users' platform: requests, streams and turns,
// the readiness check, and the directory of entry VM addresses.
type ingressAPI struct {
	upstreamConnector *connector.Connector
	server            *stopper.Stopper
	// keys checks the keys of client accounts.
	keys *keychecker.Keychecker
	// quotaGranter grants tokens from the quotas that this VM keeps, quotaTaker takes
	// those of its own requests.
	quotaGranter *quotagranter.Granter
	quotaTaker   *quotataker.Taker
}

// startQuotas starts the parts that share the quotas of client accounts among VMs.
func (i *ingressAPI) startQuotas(ctx context.Context, n *Node) {
	s := n.settings
	limits := quotakeeper.Limits{Window: s.Ingress.QuotaWindow, Overage: s.Ingress.QuotaOverage, Slack: s.Ingress.QuotaSlack}
	parts := quotaassigner.Regions(s.Regions)
	i.quotaGranter = quotagranter.New(ctx, quotakeeper.New(s.VM, len(parts), limits), n.control, n.timers, i.keys.Proved)
	i.quotaTaker = quotataker.New(s.VM, quotataker.Order(parts, s.Region), limits.TokenLifetime(), i.quotaGranter, n.peers, n.timers,
		func() []snapshot.Member { return n.view().Recent })
}

// finishBy returns the time after the shutdown request by which requests must have
// completed to fit into the grace period.
func (n *Node) finishBy() time.Duration {
	return max(0, n.settings.Ingress.Grace-killMargin-shutdownPollDelay)
}

// serve starts the HTTP servers for callers, readiness checks and address look-ups.
func (i *ingressAPI) serve(ctx context.Context, n *Node) {
	go i.sweepIdle(ctx, n)
	i.keys = keychecker.New(n.control, n.timers, keychecker.WithRevocationLimit(n.settings.Ingress.RevocationLimit))
	i.startQuotas(ctx, n)
	leaving := func() bool { return n.view().Leaving }
	ready := func() bool { return n.view().Routes != nil && !n.view().Leaving }
	addresses := func(d ident.Domain, r ident.Region) []string { return enroller.Addresses(n.view().Members, d, r) }
	maxBody := func() unit.Bytes {
		if routes := n.view().Routes; routes != nil && routes.Limits.BodyBytes > 0 {
			return routes.Limits.BodyBytes
		}
		return defaultMaxBody
	}
	i.server = n.serve(n.requestListener, platform.NewIngress(n.ingressChain(), n.timers, leaving, maxBody), requestServer)
	n.servers = append(n.servers,
		n.serve(n.readinessListener, platform.NewReadinessHandler(ready), otherServer),
		n.serve(n.directoryListener, platform.NewDirectoryHandler(addresses, addressRetention), otherServer))
}

// sweepIdle closes expired idle connections to upstreams until the context ends.
func (i *ingressAPI) sweepIdle(ctx context.Context, n *Node) {
	for ctx.Err() == nil {
		n.sleep(ctx, idleSweepInterval)
		i.upstreamConnector.CloseExpired()
	}
}

// shutdown stops the API. The context ends with the grace period.
func (i *ingressAPI) shutdown(ctx context.Context, n *Node) error {
	n.sleep(ctx, min(shutdownDelay, n.settings.Ingress.Grace*2/3))
	return errors.Annotate(i.server.Stop(ctx), "shut down the ingress API within the grace period")
}
