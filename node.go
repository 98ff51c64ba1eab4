package sassafrasspur

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/addresser"
	"github.com/sassafrasspur/sassafrasspur/internal/bookkeeper"
	"github.com/sassafrasspur/sassafrasspur/internal/canceller"
	"github.com/sassafrasspur/sassafrasspur/internal/chain"
	"github.com/sassafrasspur/sassafrasspur/internal/confirmer"
	"github.com/sassafrasspur/sassafrasspur/internal/enroller"
	"github.com/sassafrasspur/sassafrasspur/internal/executor"
	"github.com/sassafrasspur/sassafrasspur/internal/front"
	"github.com/sassafrasspur/sassafrasspur/internal/logger"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/meter"
	"github.com/sassafrasspur/sassafrasspur/internal/programrows"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/roster"
	"github.com/sassafrasspur/sassafrasspur/internal/sequencer"
	"github.com/sassafrasspur/sassafrasspur/internal/settings"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/sweeper"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/platform"
)

const (
	// headerLimit bounds the time in which a caller sends the header of a request.
	headerLimit = 10 * time.Second
	// listInterval spaces the reads of the list of entry VMs. A call whose VM is
	// killed is run elsewhere after three to five of them.
	listInterval = 750 * time.Millisecond
	// announceLimit bounds the wait for the row that says that the VM leaves.
	// Without the store the other VMs can't learn of it in any case.
	announceLimit = 2 * time.Second
	// programRetention is how long the rows of a program are kept after it has
	// ended. A caller repeats a request for a much shorter time.
	programRetention = time.Hour
)

// Node is the process of an entry VM that serves the product's own interface.
type Node struct {
	settings settings.Settings
	output   io.Writer
	timers   *timer.Service
	log      *logger.Logger
	meter    *meter.Meter
	process  ident.ProcessID

	store     *platform.Store
	roster    *roster.Roster
	programs  *bookkeeper.Bookkeeper
	sweeper   *sweeper.Sweeper
	control   *executor.Executor
	started   atomic.Pointer[executor.Executor]
	canceller *canceller.Canceller
	identify  *chain.Chain
	chain     *chain.Chain
	stop      context.CancelFunc

	callers net.Listener
	web     *http.Server
	serving sync.WaitGroup
}

// New binds the node's address and starts it. Errors name the address that
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
	var err error
	n.callers, err = net.Listen("tcp", s.CallerAddress.String())
	if err != nil {
		return nil, errors.Annotate(err, "caller_address; choose a free address of this VM")
	}
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	n.canceller = canceller.New()
	n.store = platform.NewStore(s.Platform.StoreAddress.String(), platform.WithObserver(n.observeStore))
	n.keepPrograms(ctx)
	n.startControl(ctx)
	n.started.Store(n.control)
	n.buildChain()
	n.web = &http.Server{Handler: n.handler(), ReadHeaderTimeout: headerLimit, ErrorLog: stdlog.New(n.log.Zerolog(), "", 0)}
	n.serving.Go(func() {
		if err := n.web.Serve(n.callers); !errors.Is(err, http.ErrServerClosed) {
			n.log.Failure(err).Error("serving callers ended")
		}
	})
	n.log.Info("started")
	return n, nil
}

// keepPrograms starts what keeps programs in the store.
func (n *Node) keepPrograms(ctx context.Context) {
	holder := record.Holder{VM: n.settings.VM, Process: n.process}
	n.roster = roster.New(holder, n.entry, n.timers)
	n.sweeper = sweeper.New(ctx, n.store, programrows.New(n.store, n.timers), n.timers, n.settings.VM, n.isFirst,
		n.report("sweep failed"), sweeper.WithKeep(programRetention))
	n.programs = bookkeeper.New(ctx, n.store, n.timers, sequencer.New(holder, n.roster.Runs),
		bookkeeper.WithUse(n.sweeper.Use), bookkeeper.WithRelease(n.release), bookkeeper.WithReport(n.report("record delayed")))
}

// release asks for the release of engine memory.
func (n *Node) release(wanted []bookkeeper.Release) {
	control := n.started.Load()
	if control == nil {
		return
	}
	for _, r := range wanted {
		control.Post(message.ReleaseWanted{Program: r.Program, Upstream: r.Upstream, Epoch: r.Epoch})
	}
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
	return snapshot.Member{VM: s.VM, Process: n.process, Address: n.CallerAddress(), Domain: s.Domain, Region: s.Region}
}

// entry is the newest view of the entry VMs. The background work starts
// together with the control goroutine, before there is a view.
func (n *Node) entry() snapshot.Entry {
	if control := n.started.Load(); control != nil {
		return control.Snapshot().Entry
	}
	return snapshot.Entry{}
}

// isFirst reports whether this VM is the first of those that serve callers.
func (n *Node) isFirst() bool { return enroller.IsFirst(n.entry().Members, n.settings.VM) }

func (n *Node) handler() http.Handler {
	s := n.settings
	chooser := addresser.New(addresser.WithRetention(s.Addresses.Retention), addresser.WithCount(s.Addresses.Count))
	plans := confirmer.New(n.store, n.timers)
	f := front.New(n.self(), n.chain.Serve, n.identify.Serve, n.control.Snapshot, plans, n.timers, chooser,
		front.WithMaxBody(s.Limits.BodyBytes), front.WithLog(n.log.Zerolog()))
	mux := http.NewServeMux()
	mux.Handle("/", f.Handler())
	mux.Handle("GET /metrics", f.Guard(n.meter.WritePrometheus))
	return mux
}

// CallerAddress is the address on which callers are served.
func (n *Node) CallerAddress() string { return n.callers.Addr().String() }

// Run serves until the context ends, and then leaves without cutting a request:
// the node first disappears from the address answers, goes on serving for as
// long as callers may keep an old answer, finishes what is under way and closes.
func (n *Node) Run(ctx context.Context) error {
	<-ctx.Done()
	n.log.Info("leaving")
	n.control.Post(message.ShutdownRequested{})
	work := context.WithoutCancel(ctx)
	n.withdraw(work)
	retention := n.timers.After(n.settings.Addresses.Retention)
	<-retention.C
	err := n.close(work)
	if err != nil {
		n.log.Failure(err).Error("left with requests under way")
		return err
	}
	n.log.Info("left")
	return nil
}

// withdraw waits until the other nodes have stopped giving this node's address
// to callers, so that the retention begins after the last such answer.
func (n *Node) withdraw(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, announceLimit)
	defer cancel()
	announced := func() bool { return n.entry().LeavingAnnounced }
	n.await(limited, announced)
	if !announced() {
		n.log.Warn("the leaving state could not be written in time; other nodes may still give this address to callers")
		return
	}
	noticed := n.timers.After(enroller.NoticeTime(listInterval))
	<-noticed.C
}

// close ends what the node started.
func (n *Node) close(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, n.settings.Limits.Drain)
	defer cancel()
	defer n.control.Close()
	defer n.stop()
	if err := n.web.Shutdown(ctx); err != nil {
		return errors.Annotate(err, "callers were still served when the drain limit was over")
	}
	n.serving.Wait()
	n.programs.Settled(ctx)
	n.sweeper.Note(ctx)
	return nil
}

// await waits until a condition on the snapshot holds or the context ends.
func (n *Node) await(ctx context.Context, condition func() bool) {
	for {
		changed := n.control.Changed()
		if condition() {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
