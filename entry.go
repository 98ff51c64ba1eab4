package sassafrasspur

import (
	"context"
	stdlog "log"
	"net"
	"net/http"
	"os"
	"reflect"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/connector"
	"github.com/sassafrasspur/sassafrasspur/internal/enroller"
	"github.com/sassafrasspur/sassafrasspur/internal/entrysettings"
	"github.com/sassafrasspur/sassafrasspur/internal/escrow"
	"github.com/sassafrasspur/sassafrasspur/internal/executor"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/meter"
	"github.com/sassafrasspur/sassafrasspur/internal/peerlink"
	"github.com/sassafrasspur/sassafrasspur/internal/programrows"
	"github.com/sassafrasspur/sassafrasspur/internal/relay"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/sweeper"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
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

// Entry is the process of an entry VM on a deployment whose state is in the
// platform's store.
type Entry struct {
	settings     entrysettings.Settings
	log          zerolog.Logger
	timers       *timer.Service
	meter        *meter.Meter
	control      *executor.Executor
	started      atomic.Pointer[executor.Executor]
	links        *connector.Connector
	sweeper      *sweeper.Sweeper
	budgets      *escrow.Escrow
	peers        *peerlink.Peerlink
	stop         context.CancelFunc
	peerListener net.Listener
	process      ident.ProcessID
	servers      []*http.Server
	callers      *http.Server
	serving      sync.WaitGroup
}

// EntryOption changes how NewEntry builds an Entry.
type EntryOption func(*Entry)

// WithEntryLog sets the log.
func WithEntryLog(log zerolog.Logger) EntryOption {
	return func(e *Entry) { e.log = log }
}

// NewEntry binds the addresses of an entry VM and starts it. Errors name the
// address that can't be bound.
func NewEntry(s entrysettings.Settings, options ...EntryOption) (*Entry, error) {
	e := &Entry{settings: s, process: ident.ProcessID(uuid.NewString()), timers: timer.New(), meter: meter.New(), log: zerolog.New(os.Stdout)}
	for _, option := range options {
		option(e)
	}
	e.log = e.log.With().Timestamp().Str("vm", string(s.VM)).Logger()
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	e.links = connector.New(e.timers)
	direct := platform.NewStore(s.StoreAddress, platform.WithObserver(e.observeStore))
	e.peers = peerlink.New(direct, e.timers, e.report("peer failed"))
	store := relay.New(direct, e.peers, e.timers, e.self(), func() []snapshot.Member { return e.view().Members })
	e.startEntryControl(ctx, store)
	e.started.Store(e.control)
	e.sweeper = sweeper.New(ctx, direct, programrows.New(direct, e.timers), e.timers, s.VM, e.isFirst, e.report("sweep failed"))
	e.budgets = escrow.New(ctx, store, e.timers, escrow.WithReport(e.report("budget not settled")), escrow.WithUse(e.sweeper.Use))
	if err := e.listen(ctx, e.entryChain(store)); err != nil {
		stop()
		e.control.Close()
		return nil, err
	}
	go e.sweepIdle(ctx)
	e.log.Info().Str("region", string(s.Region)).Str("failure_domain", string(s.Domain)).
		Str("callers_address", s.CallersAddress).Msg("started")
	return e, nil
}

// observeStore measures a call of the store.
func (e *Entry) observeStore(c platform.StoreCall) {
	e.meter.ObserveStoreCall(c.Write, string(c.Table), c.Err == nil, c.Took)
}

// report logs an error that no caller learns of.
func (e *Entry) report(what string) func(error) {
	return func(err error) { e.log.Warn().Err(err).Msg(what) }
}

// isFirst reports whether this VM is the first of those that serve callers.
func (e *Entry) isFirst() bool { return enroller.IsFirst(e.view().Members, e.settings.VM) }

// self is this VM among the members.
func (e *Entry) self() snapshot.Member {
	s := e.settings
	return snapshot.Member{VM: s.VM, Process: e.process, Address: s.CallersAddress, PeerAddress: peerAddress(s), Domain: s.Domain, Region: s.Region}
}

// peerAddress is where other entry VMs connect.
func peerAddress(s entrysettings.Settings) string {
	return net.JoinHostPort(s.PeerIP, strconv.Itoa(s.PeerPorts[0]))
}

// view is the newest view for entry VMs. The first reads of the store start
// together with the control goroutine, before there is a view.
func (e *Entry) view() snapshot.Entry {
	if control := e.started.Load(); control != nil {
		return control.Snapshot().Entry
	}
	return snapshot.Entry{}
}

// finishBy is the time from the request to stop by which requests must have
// ended to be finished within the grace.
func (e *Entry) finishBy() time.Duration {
	return max(0, e.settings.Grace-killMargin-closePoll)
}

func (e *Entry) listen(ctx context.Context, handler traffic.Handler) error {
	peers, err := net.Listen("tcp", peerAddress(e.settings))
	if err != nil {
		return errors.Annotate(err, "peer_ports; choose a free port of this VM")
	}
	e.peerListener = peers
	go e.peers.Serve(ctx, peers, e.budgets)
	leaving := func() bool { return e.view().Leaving }
	ready := func() bool { return e.view().Routes != nil && !e.view().Leaving }
	addresses := func(d ident.Domain, r ident.Region) []string { return enroller.Addresses(e.view().Members, d, r) }
	maxBody := func() unit.Bytes {
		if routes := e.view().Routes; routes != nil && routes.Limits.BodyBytes > 0 {
			return routes.Limits.BodyBytes
		}
		return fallbackBody
	}
	e.callers = &http.Server{
		Handler:           platform.NewIngress(handler, e.timers, leaving, maxBody),
		ReadHeaderTimeout: headerLimit,
		IdleTimeout:       callerIdle,
	}
	metrics := http.NewServeMux()
	metrics.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { e.meter.WritePrometheus(w) })
	for _, l := range []struct {
		key, address string
		server       *http.Server
	}{
		{"callers_address", e.settings.CallersAddress, e.callers},
		{"readiness_address", e.settings.ReadinessAddress, &http.Server{Handler: platform.NewReadiness(ready), ReadHeaderTimeout: headerLimit}},
		{"directory_address", e.settings.DirectoryAddress, &http.Server{Handler: platform.NewDirectory(addresses, addressRetention), ReadHeaderTimeout: headerLimit}},
		{"metrics_address", e.settings.MetricsAddress, &http.Server{Handler: metrics, ReadHeaderTimeout: headerLimit}},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return errors.Annotatef(err, "%s; choose a free address of this VM", l.key)
		}
		l.server.ErrorLog = stdlog.New(e.log, "", 0)
		e.servers = append(e.servers, l.server)
		e.serving.Go(func() {
			if err := l.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				e.log.Error().Err(err).Str("address", l.address).Msg("serving ended")
			}
		})
	}
	return nil
}

// sweepIdle closes idle connections to upstreams.
func (e *Entry) sweepIdle(ctx context.Context) {
	for {
		wait := e.timers.After(idleSweep)
		select {
		case <-wait.C:
			e.links.CloseExpired()
		case <-ctx.Done():
			wait.Cancel()
			return
		}
	}
}

// Reload logs whether settings that were read again differ. Addresses and places
// can't change while the VM serves, so a difference takes effect at the next
// start.
func (e *Entry) Reload(next entrysettings.Settings, err error) {
	if err != nil {
		e.log.Error().Err(err).Msg("settings can't be read again")
		return
	}
	e.log.Info().Bool("differ", !reflect.DeepEqual(next, e.settings)).Msg("settings read again")
}

// Run serves until the context ends, and then leaves without cutting a request:
// the VM says that it leaves, serves for as long as callers may still have its
// address, and closes.
func (e *Entry) Run(ctx context.Context) error {
	<-ctx.Done()
	e.log.Info().Msg("leaving")
	began := e.timers.Now()
	e.control.Post(message.ShutdownRequested{})
	wait := e.timers.After(min(leaveAfter, e.settings.Grace*2/3))
	<-wait.C
	limit := e.settings.Grace - killMargin - e.timers.Now().Sub(began)
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	err := e.callers.Shutdown(closing)
	for _, server := range e.servers {
		if server == e.callers {
			continue
		}
		if closed := server.Close(); closed != nil {
			e.log.Warn().Err(closed).Msg("address of this VM not closed")
		}
	}
	e.budgets.Flush(closing)
	e.sweeper.Note(closing)
	e.stop()
	if closed := e.peerListener.Close(); closed != nil {
		e.log.Warn().Err(closed).Msg("peer address not closed")
	}
	e.control.Close()
	if err != nil {
		e.log.Error().Err(err).Msg("left with requests under way")
		return errors.Annotate(err, "callers were still served when the grace was over")
	}
	e.serving.Wait()
	e.log.Info().Msg("left")
	return nil
}
