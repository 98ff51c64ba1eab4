package sassafrasspur

import (
	stdlog "log"
	"math/rand/v2"
	"net"
	"net/http"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/connectionlimiter"
	"github.com/sassafrasspur/sassafrasspur/internal/memorylimiter"
	"github.com/sassafrasspur/sassafrasspur/internal/refusalreporter"
	"github.com/sassafrasspur/sassafrasspur/internal/stopper"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// serverKind is the purpose of an HTTP server, on which its limits depend.
type serverKind int

const (
	// requestServer serves the users' interface.
	requestServer serverKind = iota
	// programServer serves the product's own interface, which limits the time for a body
	// itself.
	programServer
	// otherServer serves readiness checks, address look-ups or metrics.
	otherServer
)

// maxPeerConnections is the limit on connections of other entry VMs, of which the largest
// deployments will have 440.
const maxPeerConnections = 512

// limitPeers returns the listener for other entry VMs, with limits.
func (n *Node) limitPeers() net.Listener {
	limits := n.settings.CallerLimits()
	return connectionlimiter.New(n.requestMemory, n.timers, maxPeerConnections, connectionlimiter.WithMessages(),
		connectionlimiter.WithWritePace(limits.WritePace), connectionlimiter.WithOnRefusal(n.refusals.Report)).Listen(n.peerListener)
}

// limitCallers creates the budget for the requests of all callers.
func (n *Node) limitCallers() {
	limits := n.settings.CallerLimits()
	n.requestMemory = memorylimiter.New(limits.RequestMemory, limits.ReservedMemory, limits.SmallRequest, n.timers, rand.Float64)
	n.refusals = refusalreporter.New(n.log.Zerolog(), n.meter, n.timers)
	n.meter.ObserveRequestMemory(
		func() float64 { return float64(n.requestMemory.Used()) }, func() float64 { return float64(n.requestMemory.Waiting()) })
}

// serve starts an HTTP server on a listener; it runs until it is closed.
func (n *Node) serve(listener net.Listener, handler http.Handler, kind serverKind) *stopper.Stopper {
	limits := n.settings.CallerLimits()
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: limits.HeadTime, IdleTimeout: callerIdleTimeout,
		ErrorLog: stdlog.New(n.log.Zerolog(), "", 0),
	}
	serverStopper := stopper.New(server, n.timers)
	options := []connectionlimiter.Option{
		connectionlimiter.WithWritePace(limits.WritePace), connectionlimiter.WithOnRefusal(n.refusals.Report),
	}
	connections := limits.Connections
	switch kind {
	case requestServer:
		options = append(options, connectionlimiter.WithBodyPace(limits.BodyPace), connectionlimiter.WithHeadBytes(n.maxHeadBytes))
	case otherServer:
		connections = limits.OtherConnections()
		options = append(options, connectionlimiter.WithBodyPace(limits.BodyPace))
	}
	limiter := connectionlimiter.New(n.requestMemory, n.timers, connections, options...)
	limiter.Attach(server)
	n.serveLoops.Go(func() {
		if err := server.Serve(limiter.Listen(listener)); !errors.Is(err, http.ErrServerClosed) {
			log := n.log.Zerolog()
			log.Error().Err(err).Str("address", listener.Addr().String()).Msg("HTTP server stopped unexpectedly")
		}
	})
	return serverStopper
}

// maxHeadBytes returns the configuration's limit on a header section, 0 if there is none.
func (n *Node) maxHeadBytes() unit.Bytes {
	if routes := n.view().Routes; routes != nil {
		return routes.Limits.HeaderBytes
	}
	return 0
}
