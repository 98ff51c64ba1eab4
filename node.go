package sassafrasspur

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/addresser"
	"github.com/sassafrasspur/sassafrasspur/internal/canceller"
	"github.com/sassafrasspur/sassafrasspur/internal/chain"
	"github.com/sassafrasspur/sassafrasspur/internal/cluster"
	"github.com/sassafrasspur/sassafrasspur/internal/confirmer"
	"github.com/sassafrasspur/sassafrasspur/internal/executor"
	"github.com/sassafrasspur/sassafrasspur/internal/front"
	"github.com/sassafrasspur/sassafrasspur/internal/logger"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/meter"
	"github.com/sassafrasspur/sassafrasspur/internal/peer/dialer"
	"github.com/sassafrasspur/sassafrasspur/internal/peer/server"
	"github.com/sassafrasspur/sassafrasspur/internal/platform/objector"
	"github.com/sassafrasspur/sassafrasspur/internal/platform/tabler"
	"github.com/sassafrasspur/sassafrasspur/internal/settings"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// headerLimit bounds the time in which a caller sends the header of a request.
const headerLimit = 10 * time.Second

// Node is the process of one entry VM.
type Node struct {
	settings settings.Settings
	output   io.Writer
	timers   *timer.Service
	log      *logger.Logger
	meter    *meter.Meter

	table     *tabler.Tabler
	objects   *objector.Objector
	dialer    *dialer.Dialer
	control   *executor.Executor
	canceller *canceller.Canceller
	identify  *chain.Chain
	chain     *chain.Chain

	callers     net.Listener
	peerAddress string
	peers       *server.Server
	web         *http.Server
	serving     sync.WaitGroup
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
	peerListener, err := net.Listen("tcp", s.PeerAddress.String())
	if err != nil {
		return nil, errors.Annotate(err, "peer_address; choose a free address of this VM")
	}
	n.callers, err = net.Listen("tcp", s.CallerAddress.String())
	if err != nil {
		_ = peerListener.Close()
		return nil, errors.Annotate(err, "caller_address; choose a free address of this VM")
	}
	n.peerAddress = peerListener.Addr().String()
	n.connect()
	n.startControl(cluster.Node{
		VM:            s.VM,
		PeerAddress:   n.peerAddress,
		CallerAddress: n.callers.Addr().String(),
		Region:        s.Region,
		Domain:        s.Domain,
	})
	n.buildChain()
	n.peers = server.New(peerListener,
		server.WithVM(s.VM), server.WithKey([]byte(s.Peer.Key.Reveal())), server.WithHandler(n.chain.Serve),
		server.WithGossiper(n.answerGossip), server.WithTimer(n.timers), server.WithLogger(n.log.Zerolog()))
	n.web = &http.Server{Handler: n.handler(), ReadHeaderTimeout: headerLimit, ErrorLog: stdlog.New(n.log.Zerolog(), "", 0)}
	n.serving.Go(func() {
		if err := n.web.Serve(n.callers); !errors.Is(err, http.ErrServerClosed) {
			n.log.Failure(err).Error("serving callers ended")
		}
	})
	return n, nil
}

// connect makes the clients of the platform and of other entry VMs.
func (n *Node) connect() {
	p := n.settings.Platform
	n.table = tabler.New(
		tabler.WithEndpoint(p.TableURL), tabler.WithCredentials(p.AccessKey.Reveal(), p.SecretKey.Reveal()), tabler.WithTimeout(p.Timeout),
		tabler.WithObserver(n.observePlatform))
	n.objects = objector.New(
		objector.WithEndpoint(p.ObjectURL), objector.WithCredentials(p.AccessKey.Reveal(), p.SecretKey.Reveal()), objector.WithTimeout(p.Timeout),
		objector.WithObserver(n.observePlatform))
	n.canceller = canceller.New()
	n.dialer = dialer.New(
		dialer.WithVM(n.settings.VM), dialer.WithKey([]byte(n.settings.Peer.Key.Reveal())),
		dialer.WithTimer(n.timers), dialer.WithLogger(n.log.Zerolog()))
}

func (n *Node) handler() http.Handler {
	s := n.settings
	chooser := addresser.New(addresser.WithRetention(s.Addresses.Retention), addresser.WithCount(s.Addresses.Count))
	plans := confirmer.New(n.table, n.timers)
	f := front.New(n.chain.Serve, n.identify.Serve, n.control.Snapshot, plans, n.timers, chooser,
		front.WithMaxBody(s.Limits.BodyBytes), front.WithLog(n.log.Zerolog()))
	mux := http.NewServeMux()
	mux.Handle("/", f.Handler())
	mux.Handle("GET /metrics", f.Guard(n.meter.WritePrometheus))
	return mux
}

// CallerAddress is the address on which callers are served.
func (n *Node) CallerAddress() string { return n.callers.Addr().String() }

// PeerAddress is the address on which other entry VMs are served.
func (n *Node) PeerAddress() string { return n.peerAddress }

// Run serves until the context ends, and then leaves without cutting a request:
// the node first disappears from the address answers, goes on serving for as
// long as callers may keep an old answer, hands its shards over, finishes what
// is under way and closes.
func (n *Node) Run(ctx context.Context) error {
	<-ctx.Done()
	n.log.Info("leaving")
	n.control.Post(message.ShutdownRequested{})
	work := context.WithoutCancel(ctx)
	n.withdraw(work)
	retention := n.timers.After(n.settings.Addresses.Retention)
	<-retention.C
	n.handOver(work)
	err := n.close(work)
	if err != nil {
		n.log.Failure(err).Error("left with requests under way")
		return err
	}
	n.log.Info("left")
	return nil
}

// withdraw waits until the other nodes have stopped giving this node's address
// to callers, so that the retention begins after the last such answer. A read
// of the rows that began before the row was written, the interval and the next
// read each take time, for which one limit of the platform each is allowed.
func (n *Node) withdraw(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, n.settings.Limits.Drain)
	defer cancel()
	announced := func() bool { return n.control.Snapshot().LeavingAnnounced }
	n.await(limited, announced)
	if !announced() {
		n.log.Warn("the leaving state could not be written within the drain limit; other nodes may still give this address to callers")
	}
	noticed := n.timers.After(n.settings.Cluster.ReadInterval + 2*n.settings.Platform.Timeout)
	<-noticed.C
}

// handOver waits until the node's shards have other owners. Without the platform
// they can't be handed over; they are taken over later.
func (n *Node) handOver(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, n.settings.Limits.Drain)
	defer cancel()
	n.await(limited, n.drained)
	if !n.drained() {
		n.log.Warn("shards were not handed over within the drain limit; another node takes them over")
	}
}

// close ends the node's servers, first that of callers, whose requests may need
// the others.
func (n *Node) close(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, n.settings.Limits.Drain)
	defer cancel()
	defer n.control.Close()
	defer n.dialer.Close()
	if err := n.web.Shutdown(ctx); err != nil {
		return errors.Annotate(err, "callers were still served when the drain limit was over")
	}
	n.serving.Wait()
	return errors.Annotate(n.peers.Close(ctx), "peers were still served when the drain limit was over")
}
