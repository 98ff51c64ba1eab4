package sassafrasspur

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/connector"
	"github.com/sassafrasspur/sassafrasspur/internal/enroller"
	"github.com/sassafrasspur/sassafrasspur/internal/escrow"
	"github.com/sassafrasspur/sassafrasspur/internal/executor"
	"github.com/sassafrasspur/sassafrasspur/internal/logger"
	"github.com/sassafrasspur/sassafrasspur/internal/memorylimiter"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/meter"
	"github.com/sassafrasspur/sassafrasspur/internal/peerlink"
	"github.com/sassafrasspur/sassafrasspur/internal/refusalreporter"
	"github.com/sassafrasspur/sassafrasspur/internal/relay"
	"github.com/sassafrasspur/sassafrasspur/internal/rowfinder"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/settings"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/stopper"
	"github.com/sassafrasspur/sassafrasspur/internal/sweeper"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/internal/versionobserver"
	"github.com/sassafrasspur/sassafrasspur/internal/viewer"
	"github.com/sassafrasspur/sassafrasspur/platform"
)

const (
	// memberListInterval is the interval at which a VM that serves the program API
	// reads the list of entry VMs. After three to five intervals, a call whose VM
	// was killed runs on another VM.
	memberListInterval = 750 * time.Millisecond
	// programRetention is how long the rows of an ended program are kept. Callers
	// retry a request for a much shorter time.
	programRetention = time.Hour
)

// Node is the server process of an entry VM.
type Node struct {
	settings settings.Settings
	output   io.Writer
	timers   *timer.Service
	log      *logger.Logger
	meter    *meter.Meter
	process  ident.ProcessID
	stop     context.CancelFunc

	// platformStore accesses the platform's store directly. store falls back to
	// other entry VMs if the platform's store does not serve this VM; without peers,
	// it is the same as platformStore.
	platformStore *platform.Store
	store         rows.Store
	// versions has the highest version of the store that this VM has seen.
	versions *versionobserver.Versionobserver
	// peers and budgets are nil if the VM has no address for other entry VMs.
	peers   *peerlink.Peerlink
	budgets *escrow.Escrow
	sweeper *sweeper.Sweeper
	control *executor.Executor
	// started holds control once the control goroutine has started, for background
	// work that may run earlier.
	started atomic.Pointer[executor.Executor]

	// programAPI and ingressAPI are nil if the VM does not serve the API.
	programAPI *programAPI
	ingressAPI *ingressAPI

	callerListener, requestListener, readinessListener, directoryListener, metricsListener, peerListener net.Listener
	// requestMemory is the budget of all callers together.
	requestMemory *memorylimiter.Memorylimiter
	refusals      *refusalreporter.Refusalreporter
	// servers are closed last, after the servers of programAPI and ingressAPI.
	servers    []*stopper.Stopper
	serveLoops sync.WaitGroup
}

// New binds the addresses of a node and starts it. An error names the setting whose
// address can't be bound.
func New(options ...Option) (*Node, error) {
	n := defaults()
	for _, option := range options {
		option(n)
	}
	s := n.settings
	n.log = logger.New(n.output, s.VM, s.Domain, s.Region, logger.WithLevel(s.LogLevel), logger.WithTimer(n.timers))
	n.meter = meter.New()
	n.process = ident.ProcessID(uuid.NewString())
	n.limitCallers()
	if err := n.bind(); err != nil {
		n.unbind()
		return nil, err
	}
	n.log.Started(logger.Addresses{
		Callers: n.CallerAddress(), Requests: n.requestAddress(), Readiness: boundAddress(n.readinessListener),
		Directory: boundAddress(n.directoryListener), Metrics: boundAddress(n.metricsListener), Peers: boundAddress(n.peerListener),
	})
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	n.versions = versionobserver.New()
	n.platformStore = platform.NewStore(s.Platform.StoreAddress.String(), platform.WithObserver(n.observeStore),
		platform.WithVersionObserver(n.versions.Observe))
	n.store = n.platformStore
	n.sweeper = sweeper.New(ctx, n.platformStore, rowfinder.New(n.platformStore, n.timers), n.timers, s.VM, n.isLeader,
		n.errorLogger("sweep failed"), sweeper.WithRetention(n.retention()))
	if n.peerListener != nil {
		n.startPeering(ctx)
	}
	if n.callerListener != nil {
		n.programAPI = newProgramAPI(ctx, n)
	}
	if n.requestListener != nil {
		n.ingressAPI = &ingressAPI{upstreamConnector: connector.New(n.timers)}
	}
	n.startControl(ctx)
	n.started.Store(n.control)
	n.listen(ctx)
	return n, nil
}

// retention returns how long the rows of programs are kept after their last use.
func (n *Node) retention() time.Duration {
	if n.callerListener != nil {
		return programRetention
	}
	return sweeper.DefaultRetention
}

// bind opens a listener for each address in the settings.
func (n *Node) bind() error {
	s := n.settings
	for _, b := range []struct {
		key      string
		address  netip.AddrPort
		listener *net.Listener
	}{
		{"caller_address", s.CallerAddress, &n.callerListener},
		{"ingress.requests", s.Ingress.Requests, &n.requestListener},
		{"ingress.readiness", s.Ingress.Readiness, &n.readinessListener},
		{"ingress.directory", s.Ingress.Directory, &n.directoryListener},
		{"metrics_address", s.MetricsAddress, &n.metricsListener},
		{"peer_address", s.PeerAddress, &n.peerListener},
	} {
		if !b.address.IsValid() {
			continue
		}
		listener, err := net.Listen("tcp", b.address.String())
		if err != nil {
			return errors.Annotatef(err, "listen on the address of %s; choose a free address of this VM", b.key)
		}
		*b.listener = listener
	}
	return nil
}

// unbind closes the listeners of a node that fails to start.
func (n *Node) unbind() {
	for _, listener := range []net.Listener{
		n.callerListener, n.requestListener, n.readinessListener, n.directoryListener, n.metricsListener, n.peerListener,
	} {
		if listener == nil {
			continue
		}
		if err := listener.Close(); err != nil {
			n.errorLogger("listener not closed")(err)
		}
	}
}

// startPeering starts the components that communicate with other entry VMs.
func (n *Node) startPeering(ctx context.Context) {
	n.peers = peerlink.New(n.platformStore, n.timers, n.errorLogger("peer failed"), peerlink.WithMemory(n.requestMemory))
	n.store = n.versions.Observed(
		relay.New(n.platformStore, n.peers, n.timers, n.self(), func() []snapshot.Member { return n.view().Members }))
	n.budgets = escrow.New(ctx, n.store, n.timers,
		escrow.WithOnError(n.errorLogger("budget not settled")), escrow.WithOnUse(n.sweeper.MarkUsed))
}

// listen starts the servers on the bound addresses.
func (n *Node) listen(ctx context.Context) {
	if n.programAPI != nil {
		n.programAPI.serve(n)
	}
	if n.ingressAPI != nil {
		n.ingressAPI.serve(ctx, n)
	}
	if n.peerListener != nil {
		var options []peerlink.ServeOption
		if n.ingressAPI != nil {
			options = append(options, peerlink.WithQuotas(n.ingressAPI.quotaGranter))
		}
		go n.peers.Serve(ctx, n.limitPeers(), n.budgets, n.view, options...)
	}
	if n.metricsListener != nil {
		mux := http.NewServeMux()
		mux.Handle("/", viewer.New(n.self(), n.control.Snapshot, n.timers).Handler(n.log.Zerolog()))
		mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { n.meter.WritePrometheus(w) })
		n.servers = append(n.servers, n.serve(n.metricsListener, mux, otherServer))
	}
}

// errorLogger returns a function that logs errors that are not returned to a caller.
func (n *Node) errorLogger(what string) func(error) {
	log := n.log.Zerolog()
	return func(err error) { log.Warn().Err(err).Msg(what) }
}

// observeStore records the metrics of a store call.
func (n *Node) observeStore(c platform.StoreCall) {
	n.meter.ObserveStoreCall(c.Write, string(c.Table), c.Err == nil, c.Took)
}

// self returns the member entry of this VM.
func (n *Node) self() snapshot.Member {
	s := n.settings
	m := snapshot.Member{
		VM: s.VM, Process: n.process, Domain: s.Domain, Region: s.Region,
		Address: n.CallerAddress(), RequestAddress: n.requestAddress(),
	}
	if n.peerListener != nil {
		m.PeerAddress = n.peerListener.Addr().String()
	}
	return m
}

// memberInterval returns the interval at which the list of entry VMs is read.
func (n *Node) memberInterval() time.Duration {
	if n.callerListener != nil {
		return memberListInterval
	}
	return enroller.DefaultInterval
}

// view returns the newest snapshot of entry VMs. It is empty until the control
// goroutine has started, since background work may call it before then.
func (n *Node) view() snapshot.Entry {
	if control := n.started.Load(); control != nil {
		return control.Snapshot().Entry
	}
	return snapshot.Entry{}
}

// isLeader reports whether this VM is the first of the VMs that serve callers.
func (n *Node) isLeader() bool { return enroller.IsLeader(n.view().Members, n.settings.VM) }

// CallerAddress returns the address of the program API, or an empty string if the
// VM does not serve it.
func (n *Node) CallerAddress() string { return boundAddress(n.callerListener) }

func (n *Node) requestAddress() string { return boundAddress(n.requestListener) }

func boundAddress(listener net.Listener) string {
	if listener == nil {
		return ""
	}
	return listener.Addr().String()
}

// Reload logs whether re-read settings differ from those in use. Addresses, region
// and failure domain can't change while the VM serves, so changed settings take
// effect at the next start.
func (n *Node) Reload(next *settings.Settings, err error) {
	log := n.log.Zerolog()
	if err != nil {
		log.Error().Err(err).Msg("settings could not be reloaded; the node keeps the current settings")
		return
	}
	log.Info().Bool("differ", !reflect.DeepEqual(*next, n.settings)).Msg("settings read again")
}

// Run serves until the context ends and then shuts down gracefully: the VM
// announces that it is leaving, serves for as long as callers may cache its
// address, completes the requests in progress and closes its servers.
func (n *Node) Run(ctx context.Context) error {
	<-ctx.Done()
	n.log.Info("leaving")
	n.control.Post(message.ShutdownRequested{})
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), n.shutdownTimeout())
	defer cancel()
	var shutdowns errgroup.Group
	if n.programAPI != nil {
		shutdowns.Go(func() error { return n.programAPI.shutdown(shutdownCtx, n) })
	}
	if n.ingressAPI != nil {
		shutdowns.Go(func() error { return n.ingressAPI.shutdown(shutdownCtx, n) })
	}
	err := shutdowns.Wait()
	if n.budgets != nil {
		n.budgets.Flush(shutdownCtx)
	}
	n.sweeper.WriteList(shutdownCtx)
	n.close()
	if err != nil {
		n.log.Failure(err).Error("left with requests under way")
		return err
	}
	n.serveLoops.Wait()
	n.log.Info("left")
	return nil
}

// shutdownTimeout bounds the time from the shutdown request to the end of the node.
func (n *Node) shutdownTimeout() time.Duration {
	if n.ingressAPI != nil {
		return n.settings.Ingress.Grace - killMargin
	}
	return announceTimeout + enroller.PropagationDelay(memberListInterval) + n.settings.Addresses.Retention + n.settings.Limits.Drain
}

// close stops the servers, the background work and the control goroutine.
func (n *Node) close() {
	for _, server := range n.servers {
		if err := server.Close(); err != nil {
			n.errorLogger("HTTP server not closed")(err)
		}
	}
	n.stop()
	if n.peerListener != nil {
		if err := n.peerListener.Close(); err != nil {
			n.errorLogger("peer listener not closed")(err)
		}
	}
	n.control.Close()
}

// awaitView waits until the condition holds for the view, and reports false if the
// context ends first.
func (n *Node) awaitView(ctx context.Context, condition func(snapshot.Entry) bool) bool {
	for {
		changed := n.control.Changed()
		if condition(n.view()) {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// sleep waits for d or until the context ends.
func (n *Node) sleep(ctx context.Context, d time.Duration) {
	wait := n.timers.After(d)
	defer wait.Cancel()
	select {
	case <-wait.C:
	case <-ctx.Done():
	}
}
