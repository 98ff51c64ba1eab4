// Package runner runs a soak test with fault injection: entry VMs as separate
// processes, callers and upstreams that record what they observe, and concurrent
// series of faults. The schedule is drawn from one seed.
package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/replica"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowserver"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowstore"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/soak/checker"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/soak/proxy"
)

const (
	// registerInterval is the interval at which upstreams renew their registration.
	registerInterval = time.Second
	// settleTime is the time without faults at the end, in which requests that
	// are still under way run.
	settleTime = time.Second
)

// Options configures a soak.
type Options struct {
	// Binary is the path of the entry VM's executable; Dir is the directory for
	// settings and logs.
	Binary, Dir string
	Seed        uint64
	Duration    time.Duration
	VMs         int
	Callers     int
	// MaxFaults is the number of faults that may be active at once: each concurrent
	// series has one at a time.
	MaxFaults int
}

// Report is the result of a soak.
type Report struct {
	Violations []string
	// Answers is the number of answers by status; 0 stands for a broken
	// connection.
	Answers map[int]int
	Runs    int
	Faults  []string
}

type upstreamStandin struct {
	id      ident.UpstreamID
	pool    string
	replica *replica.Replica
	server  *httptest.Server
	proxy   *proxy.Proxy
}

// Runner runs one soak.
type Runner struct {
	options     Options
	rowStore    *rowstore.Rowstore
	storeServer *httptest.Server
	upstreams   []*upstreamStandin
	vms         []*vm
	checker     *checker.Checker
	// lifecycleMu serializes faults that start, stop or suspend processes.
	lifecycleMu sync.Mutex

	mu             sync.Mutex
	completedTurns []turn
	injectedFaults []string
}

// New returns a Runner and starts its store.
func New(o Options) *Runner {
	r := &Runner{options: o, rowStore: rowstore.New(), checker: checker.New()}
	r.storeServer = httptest.NewServer(rowserver.New(r.rowStore).Handler())
	return r
}

// Run runs the soak. An error means that the soak could not be run; violations
// are in the report.
func (r *Runner) Run(ctx context.Context) (Report, error) {
	defer r.shutDown()
	if err := r.deploy(); err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, r.options.Duration)
	defer cancel()
	registerCtx, cancelRegister := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelRegister()
	go r.registerUpstreams(registerCtx)
	var work sync.WaitGroup
	for i := range r.options.Callers {
		c := &caller{
			runner: r, name: fmt.Sprintf("c%d", i), random: r.random(uint64(100 + i)),
			client: &http.Client{Transport: &http.Transport{DisableCompression: true}},
		}
		work.Go(func() { c.run(ctx) })
	}
	faultErrs := make(chan error, r.options.MaxFaults)
	for i := range r.options.MaxFaults {
		work.Go(func() { faultErrs <- r.injectFaults(ctx, r.random(uint64(i))) })
	}
	work.Wait()
	for range r.options.MaxFaults {
		if err := <-faultErrs; err != nil {
			return Report{}, err
		}
	}
	time.Sleep(settleTime)
	return r.report(), nil
}

func (r *Runner) random(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(r.options.Seed, stream))
}

// injectFaults injects random faults one after the other until the context ends.
func (r *Runner) injectFaults(ctx context.Context, random *rand.Rand) error {
	faults := r.faults()
	for {
		waitFor(ctx, time.Duration(200+random.IntN(1200))*time.Millisecond)
		if ctx.Err() != nil {
			return nil
		}
		f := faults[random.IntN(len(faults))]
		r.mu.Lock()
		r.injectedFaults = append(r.injectedFaults, f.name)
		r.mu.Unlock()
		if err := f.run(ctx, random); err != nil {
			return errors.Annotatef(err, "fault %q", f.name)
		}
	}
}

// deploy starts the upstreams and the VMs and writes the configuration.
func (r *Runner) deploy() error {
	for i := range 3 {
		if err := r.addUpstream(
			fmt.Sprint("engine-", i), "engines", replica.WithEvents(streamEvents), replica.WithWorkTime(5*time.Millisecond),
		); err != nil {
			return err
		}
		if err := r.addUpstream(fmt.Sprint("service-", i), "services", replica.WithWorkTime(10*time.Millisecond)); err != nil {
			return err
		}
	}
	if err := r.putRow("op", "config", configurationRow()); err != nil {
		return err
	}
	for i := range r.options.VMs {
		v, err := newVM(r.options.Dir, r.options.Binary, fmt.Sprint("vm-", i), string(rune('a'+i%2)), r.storeServer.Listener.Addr().String())
		if err != nil {
			return err
		}
		r.vms = append(r.vms, v)
		if err := v.start(); err != nil {
			return err
		}
	}
	for _, v := range r.vms {
		if err := v.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

func (r *Runner) addUpstream(id, pool string, options ...replica.Option) error {
	u := &upstreamStandin{id: ident.UpstreamID(id), pool: pool, replica: replica.New(ident.UpstreamID(id), options...)}
	u.server = httptest.NewServer(u.replica)
	upstreamProxy, err := proxy.New(u.server.Listener.Addr().String())
	if err != nil {
		u.server.Close()
		return err
	}
	u.proxy = upstreamProxy
	r.upstreams = append(r.upstreams, u)
	return r.putRow("servers", id, u.entry())
}

func (u *upstreamStandin) entry() map[string]any {
	return map[string]any{"service": u.pool, "address": u.proxy.Address(), "zone": "a", "slots": 8, "state": "ready", "version": "v1", "coldRemainingMs": 0, "seq": 1}
}

// registerUpstreams rewrites the rows of upstreams periodically, as replicas do.
func (r *Runner) registerUpstreams(ctx context.Context) {
	for ctx.Err() == nil {
		waitFor(ctx, registerInterval)
		for _, u := range r.upstreams {
			// A write that fails because of a store fault is repeated at the next
			// interval.
			_ = r.putRow("servers", string(u.id), u.entry())
		}
	}
}

func (r *Runner) putRow(table rows.Table, key string, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = r.rowStore.Commit(context.Background(), rows.Transaction{
		Puts: []rows.Put{{ID: rows.ID{Table: table, Key: rows.Key(key)}, Value: encoded}},
	})
	return errors.Trace(err)
}

// configurationRow returns the content of the operator's configuration row.
func configurationRow() map[string]any {
	route := func(name, kind, pool string, resumable, retained bool) map[string]any {
		return map[string]any{
			"name": name, "hostname": "example.test", "prefix": "/" + name + "/", "routeKind": kind, "service": pool,
			"timeoutMs": 4000, "maxAttempts": 2, "resumable": resumable, "retained": retained, "retentionS": 60, "sticky": true,
		}
	}
	return map[string]any{
		"version": 1,
		"routes": []any{
			route("file", "non_idempotent", "services", false, false), route("look", "idempotent", "services", false, false),
			route("ask", "streaming", "engines", true, false), route("chat", "streaming", "engines", false, true),
		},
		"services": []any{
			map[string]any{"name": "services", "maxConns": 110},
			map[string]any{"name": "engines", "maxConns": 370, "engine": map[string]any{"slots": 64, "chunkTokens": eventTokens}},
		},
		"limits": map[string]any{"maxBodyBytes": 1 << 20, "idleTimeoutMs": 15000},
	}
}

// recordTurn records a turn that later programs may continue.
func (r *Runner) recordTurn(t turn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.completedTurns = append(r.completedTurns, t)
}

func (r *Runner) randomTurn(random *rand.Rand) (turn, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.completedTurns) == 0 {
		return turn{}, false
	}
	return r.completedTurns[random.IntN(len(r.completedTurns))], true
}

func (r *Runner) report() Report {
	var runs []checker.UpstreamRun
	for _, u := range r.upstreams {
		for _, run := range u.replica.Runs() {
			runs = append(runs, checker.UpstreamRun{ID: run.Request, Prompt: run.Body})
		}
	}
	violations, answers := r.checker.Finish(runs)
	r.mu.Lock()
	defer r.mu.Unlock()
	return Report{Violations: violations, Answers: answers, Runs: len(runs), Faults: r.injectedFaults}
}

// shutDown stops everything that the soak started.
func (r *Runner) shutDown() {
	for _, v := range r.vms {
		// The exit status of a killed process is of no interest.
		_ = v.signal(syscall.SIGCONT)
		_ = v.signal(syscall.SIGKILL)
		_ = v.wait()
		v.store.Close()
	}
	for _, u := range r.upstreams {
		u.proxy.Close()
		u.server.CloseClientConnections()
		u.server.Close()
	}
	r.storeServer.CloseClientConnections()
	r.storeServer.Close()
}
