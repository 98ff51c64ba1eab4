package sassafrasspur

import (
	"context"
	"io"
	stdlog "log"
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
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/meter"
	"github.com/sassafrasspur/sassafrasspur/internal/peerlink"
	"github.com/sassafrasspur/sassafrasspur/internal/programrows"
	"github.com/sassafrasspur/sassafrasspur/internal/relay"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/settings"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/sweeper"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/internal/viewer"
	"github.com/sassafrasspur/sassafrasspur/platform"
)

const (
	// headerLimit bounds the time in which a caller sends the header of a request.
	headerLimit = 10 * time.Second
	// listInterval spaces the reads of the list of entry VMs on a VM that serves
	// the product's own interface. A call whose VM is killed is run elsewhere
	// after three to five of them.
	listInterval = 750 * time.Millisecond
	// programRetention is how long the rows of a program are kept after it has
	// ended. A caller repeats a request for a much shorter time.
	programRetention = time.Hour
)

// Node is the process of an entry VM.
type Node struct {
	settings settings.Settings
	output   io.Writer
	timers   *timer.Service
	log      *logger.Logger
	meter    *meter.Meter
	process  ident.ProcessID
	stop     context.CancelFunc

	// direct is the store itself, store the way to it, which leads through other
	// entry VMs if it has to.
	direct *platform.Store
	store  rows.Store
	// peers and budgets are shared with other entry VMs, nil without an address
	// for them.
	peers   *peerlink.Peerlink
	budgets *escrow.Escrow
	sweeper *sweeper.Sweeper
	control *executor.Executor
	started atomic.Pointer[executor.Executor]

	// calls and ingress are the interfaces, nil if they are not served.
	calls   *calls
	ingress *ingress

	callers, requests, readiness, directory, metrics, peering net.Listener
	// servers are closed at the end, after those of the interfaces.
	servers []*http.Server
	serving sync.WaitGroup
}

// New binds the node's addresses and starts it. Errors name the address that
// can't be bound.
func New(options ...Option) (*Node, error) {
	n := defaults()
	for _, option := range options {
		option(n)
	}
	s := n.settings
	n.log = logger.New(n.output, s.VM, s.Domain, s.Region, logger.WithLevel(s.LogLevel), logger.WithTimer(n.timers))
	n.meter = meter.New()
	n.process = ident.ProcessID(uuid.NewString())
	if err := n.bind(); err != nil {
		n.unbind()
		return nil, err
	}
	n.log.Started(n.CallerAddress(), n.requestAddress())
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	n.direct = platform.NewStore(s.Platform.StoreAddress.String(), platform.WithObserver(n.observeStore))
	n.store = n.direct
	n.sweeper = sweeper.New(ctx, n.direct, programrows.New(n.direct, n.timers), n.timers, s.VM, n.isFirst,
		n.report("sweep failed"), sweeper.WithKeep(n.retention()))
	if n.peering != nil {
		n.joinPeers(ctx)
	}
	if n.callers != nil {
		n.calls = newCalls(ctx, n)
	}
	if n.requests != nil {
		n.ingress = &ingress{links: connector.New(n.timers)}
	}
	n.startControl(ctx)
	n.started.Store(n.control)
	n.listen(ctx)
	return n, nil
}

// retention is how long the rows of programs are kept after their last use.
func (n *Node) retention() time.Duration {
	if n.callers != nil {
		return programRetention
	}
	return sweeper.DefaultKeep
}

// bind binds the addresses of the settings.
func (n *Node) bind() error {
	s := n.settings
	for _, b := range []struct {
		key      string
		address  netip.AddrPort
		listener *net.Listener
	}{
		{"caller_address", s.CallerAddress, &n.callers},
		{"ingress.requests", s.Ingress.Requests, &n.requests},
		{"ingress.readiness", s.Ingress.Readiness, &n.readiness},
		{"ingress.directory", s.Ingress.Directory, &n.directory},
		{"metrics_address", s.MetricsAddress, &n.metrics},
		{"peer_address", s.PeerAddress, &n.peering},
	} {
		if !b.address.IsValid() {
			continue
		}
		listener, err := net.Listen("tcp", b.address.String())
		if err != nil {
			return errors.Annotatef(err, "%s; choose a free address of this VM", b.key)
		}
		*b.listener = listener
	}
	return nil
}

// unbind releases the addresses of a node that can't start.
func (n *Node) unbind() {
	for _, listener := range []net.Listener{n.callers, n.requests, n.readiness, n.directory, n.metrics, n.peering} {
		if listener == nil {
			continue
		}
		if err := listener.Close(); err != nil {
			n.report("address of this VM not closed")(err)
		}
	}
}

// joinPeers starts what entry VMs share without the store.
func (n *Node) joinPeers(ctx context.Context) {
	n.peers = peerlink.New(n.direct, n.timers, n.report("peer failed"))
	n.store = relay.New(n.direct, n.peers, n.timers, n.self(), func() []snapshot.Member { return n.view().Members })
	n.budgets = escrow.New(ctx, n.store, n.timers, escrow.WithReport(n.report("budget not settled")), escrow.WithUse(n.sweeper.Use))
}

// listen starts to answer on the bound addresses.
func (n *Node) listen(ctx context.Context) {
	if n.calls != nil {
		n.calls.serve(n)
	}
	if n.ingress != nil {
		n.ingress.serve(ctx, n)
	}
	if n.peering != nil {
		go n.peers.Serve(ctx, n.peering, n.budgets, n.view)
	}
	if n.metrics != nil {
		mux := http.NewServeMux()
		mux.Handle("/", viewer.New(n.self(), n.control.Snapshot, n.timers).Handler(n.log.Zerolog()))
		mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { n.meter.WritePrometheus(w) })
		n.servers = append(n.servers, n.serve(n.metrics, mux, 0))
	}
}

// serve answers on a bound address until the server is closed. Idle connections
// stay open for a time, with 0 for as long as a header may take.
func (n *Node) serve(listener net.Listener, handler http.Handler, idle time.Duration) *http.Server {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerLimit, IdleTimeout: idle, ErrorLog: stdlog.New(n.log.Zerolog(), "", 0),
	}
	n.serving.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			log := n.log.Zerolog()
			log.Error().Err(err).Str("address", listener.Addr().String()).Msg("serving ended")
		}
	})
	return server
}

// report logs an error that no caller learns of.
func (n *Node) report(what string) func(error) {
	log := n.log.Zerolog()
	return func(err error) { log.Warn().Err(err).Msg(what) }
}

// observeStore measures a call of the store.
func (n *Node) observeStore(c platform.StoreCall) {
	n.meter.ObserveStoreCall(c.Write, string(c.Table), c.Err == nil, c.Took)
}

// self is this VM among the members.
func (n *Node) self() snapshot.Member {
	s := n.settings
	m := snapshot.Member{
		VM: s.VM, Process: n.process, Domain: s.Domain, Region: s.Region,
		Address: n.CallerAddress(), RequestAddress: n.requestAddress(),
	}
	if n.peering != nil {
		m.PeerAddress = n.peering.Addr().String()
	}
	return m
}

// interval spaces the reads of the list of entry VMs.
func (n *Node) interval() time.Duration {
	if n.callers != nil {
		return listInterval
	}
	return enroller.DefaultInterval
}

// view is the newest view of entry VMs. The background work starts together with
// the control goroutine, before there is a view.
func (n *Node) view() snapshot.Entry {
	if control := n.started.Load(); control != nil {
		return control.Snapshot().Entry
	}
	return snapshot.Entry{}
}

// isFirst reports whether this VM is the first of those that serve callers.
func (n *Node) isFirst() bool { return enroller.IsFirst(n.view().Members, n.settings.VM) }

// CallerAddress is the address of the product's own interface, empty if it is
// not served.
func (n *Node) CallerAddress() string { return boundAddress(n.callers) }

func (n *Node) requestAddress() string { return boundAddress(n.requests) }

func boundAddress(listener net.Listener) string {
	if listener == nil {
		return ""
	}
	return listener.Addr().String()
}

// Reload logs whether settings that were read again differ. Addresses and places
// can't change while the VM serves, so a difference takes effect at the next
// start.
func (n *Node) Reload(next *settings.Settings, err error) {
	log := n.log.Zerolog()
	if err != nil {
		log.Error().Err(err).Msg("settings can't be read again")
		return
	}
	log.Info().Bool("differ", !reflect.DeepEqual(*next, n.settings)).Msg("settings read again")
}

// Run serves until the context ends, and then leaves without cutting a request:
// the VM says that it leaves, serves for as long as callers may still have its
// address, finishes what is under way and closes.
func (n *Node) Run(ctx context.Context) error {
	<-ctx.Done()
	n.log.Info("leaving")
	n.control.Post(message.ShutdownRequested{})
	work, cancel := context.WithTimeout(context.WithoutCancel(ctx), n.leaveLimit())
	defer cancel()
	var leaving errgroup.Group
	if n.calls != nil {
		leaving.Go(func() error { return n.calls.leave(work, n) })
	}
	if n.ingress != nil {
		leaving.Go(func() error { return n.ingress.leave(work, n) })
	}
	err := leaving.Wait()
	if n.budgets != nil {
		n.budgets.Flush(work)
	}
	n.sweeper.Note(work)
	n.close()
	if err != nil {
		n.log.Failure(err).Error("left with requests under way")
		return err
	}
	n.serving.Wait()
	n.log.Info("left")
	return nil
}

// leaveLimit is the time from the request to stop until the node ends by itself.
func (n *Node) leaveLimit() time.Duration {
	if n.ingress != nil {
		return n.settings.Ingress.Grace - killMargin
	}
	return announceLimit + enroller.NoticeTime(listInterval) + n.settings.Addresses.Retention + n.settings.Limits.Drain
}

// close ends what the node started.
func (n *Node) close() {
	for _, server := range n.servers {
		if err := server.Close(); err != nil {
			n.report("address of this VM not closed")(err)
		}
	}
	n.stop()
	if n.peering != nil {
		if err := n.peering.Close(); err != nil {
			n.report("peer address not closed")(err)
		}
	}
	n.control.Close()
}

// await waits until a condition on the view holds or the context ends.
func (n *Node) await(ctx context.Context, condition func(snapshot.Entry) bool) bool {
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

// pause waits for a time or until the context ends.
func (n *Node) pause(ctx context.Context, d time.Duration) {
	wait := n.timers.After(d)
	defer wait.Cancel()
	select {
	case <-wait.C:
	case <-ctx.Done():
	}
}
