package sassafrasspur

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/addresser"
	"github.com/sassafrasspur/sassafrasspur/internal/apiserver"
	"github.com/sassafrasspur/sassafrasspur/internal/canceller"
	"github.com/sassafrasspur/sassafrasspur/internal/committer"
	"github.com/sassafrasspur/sassafrasspur/internal/confirmer"
	"github.com/sassafrasspur/sassafrasspur/internal/enroller"
	"github.com/sassafrasspur/sassafrasspur/internal/livenesschecker"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/sequencer"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/stopper"
)

// announceTimeout bounds the wait until the store holds the row that marks this
// VM as leaving. If the store is unreachable, the other VMs can't read the row
// anyway, so a longer wait has no use.
const announceTimeout = 2 * time.Second

// programAPI serves the product's own API: programs, plans, addresses and status.
type programAPI struct {
	liveness  *livenesschecker.Livenesschecker
	programs  *committer.Committer
	canceller *canceller.Canceller
	server    *stopper.Stopper
}

// newProgramAPI creates the API and starts the committer that stores programs.
// The server itself is started by serve.
func newProgramAPI(ctx context.Context, n *Node) *programAPI {
	holder := record.Holder{VM: n.settings.VM, Process: n.process}
	p := &programAPI{liveness: livenesschecker.New(holder, n.view, n.timers), canceller: canceller.New()}
	p.programs = committer.New(ctx, n.store, n.timers, sequencer.New(holder, p.liveness.IsRunning),
		committer.WithOnUse(n.sweeper.MarkUsed), committer.WithOnRelease(n.release),
		committer.WithOnError(n.errorLogger("record delayed")))
	return p
}

// release requests that engines free the memory of programs. Requests made before
// the control goroutine has started are dropped.
func (n *Node) release(releases []committer.Release) {
	control := n.started.Load()
	if control == nil {
		return
	}
	for _, r := range releases {
		control.Post(message.ReleaseRequested{Program: r.Program, Upstream: r.Upstream, Epoch: r.Epoch})
	}
}

// serve starts the HTTP server for callers and operators.
func (p *programAPI) serve(n *Node) {
	s := n.settings
	chooser := addresser.New(addresser.WithRetention(s.Addresses.Retention), addresser.WithCount(s.Addresses.Count))
	authenticateOnly, full := n.programChains()
	api := apiserver.New(n.self(), full.Serve, authenticateOnly.Serve, n.control.Snapshot, confirmer.New(n.store, n.timers),
		n.timers, chooser,
		apiserver.WithMaxBody(s.Limits.BodyBytes), apiserver.WithLog(n.log.Zerolog()))
	mux := http.NewServeMux()
	mux.Handle("/", api.Handler())
	mux.Handle("GET /metrics", api.OperatorOnly(n.meter.WritePrometheus))
	p.server = n.serve(n.callerListener, mux, programServer)
}

// shutdown stops the API. It first announces that the VM is leaving, so that the
// other VMs stop returning its address. It then keeps serving for as long as
// callers may cache an earlier answer, and closes the server last.
func (p *programAPI) shutdown(ctx context.Context, n *Node) error {
	if p.announceLeaving(ctx, n) {
		n.sleep(ctx, enroller.PropagationDelay(memberListInterval))
	}
	n.sleep(ctx, n.settings.Addresses.Retention)
	ctx, cancel := context.WithTimeout(ctx, n.settings.Limits.Drain)
	defer cancel()
	if err := p.server.Stop(ctx); err != nil {
		return errors.Annotate(err, "shut down the program API within the drain limit")
	}
	p.programs.WaitBackground(ctx)
	return nil
}

// announceLeaving waits until the row that marks this VM as leaving is stored, which
// makes the other VMs stop returning its address to callers. It reports whether
// that happened in time.
func (p *programAPI) announceLeaving(ctx context.Context, n *Node) bool {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if n.awaitView(ctx, func(view snapshot.Entry) bool { return view.LeavingAnnounced }) {
		return true
	}
	n.log.Warn("leaving state not written in time; other nodes may still return this address to callers")
	return false
}
