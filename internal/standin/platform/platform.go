// Package platform is the stand-in of the platform: a table with DynamoDB's
// HTTP protocol, objects with S3's, and a VM list that lags.
//
// One goroutine owns the state. Requests pass a filter that applies the faults
// before they reach the state. A request that is held during a silence can take
// effect after it, even if its client has given up by then.
package platform

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"github.com/sassafrasspur/sassafrasspur/internal/standin/lagger"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/replier"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/runner"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/transactor"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// TableName is the name of the only table, and of the only bucket.
const TableName = "sassafrasspur"

const controlPrefix = "/standin/"

// Platform is a platform. It is safe for concurrent use.
type Platform struct {
	timers       *timer.Service
	reads        int
	writes       int
	shareObjects bool
	listLag      time.Duration
	vms          []vm

	runner *runner.Runner[command, reply]
	tables http.Handler
	others http.Handler
}

// Option changes how New builds a Platform.
type Option func(*Platform)

// WithTimers sets the timer service.
func WithTimers(t *timer.Service) Option { return func(p *Platform) { p.timers = t } }

// WithLimits sets the reads and writes of the table that are served a second.
// A quarter of a second's amount can be used at once.
func WithLimits(reads, writes int) Option {
	return func(p *Platform) { p.reads, p.writes = reads, writes }
}

// WithObjectsLimited makes object reads and writes count against the limits.
func WithObjectsLimited(on bool) Option { return func(p *Platform) { p.shareObjects = on } }

// WithListLag sets the age of the VM list.
func WithListLag(d time.Duration) Option { return func(p *Platform) { p.listLag = d } }

// WithVMs sets addresses that are live in the list from the start.
func WithVMs(addresses ...string) Option {
	return func(p *Platform) {
		for _, address := range addresses {
			p.vms = append(p.vms, vm{Address: address, State: stateLive})
		}
	}
}

// New starts an empty platform. Close ends it.
func New(options ...Option) *Platform {
	p := &Platform{timers: timer.New(), reads: 2000, writes: 400, vms: []vm{}}
	for _, option := range options {
		option(p)
	}
	p.runner = runner.New[command, reply](&state{
		table:        transactor.New(),
		objects:      map[string]*object{},
		list:         &p.vms,
		reported:     lagger.New(p.listLag, &p.vms),
		readLimit:    limiter(p.reads),
		writeLimit:   limiter(p.writes),
		shareObjects: p.shareObjects,
	}, p.timers)
	p.tables = p.filter(http.HandlerFunc(p.serveTable), func(w http.ResponseWriter) {
		writeTableError(w, http.StatusInternalServerError, "InternalServerError", "the platform has an outage", nil)
	})
	p.others = p.filter(p.routes(), func(w http.ResponseWriter) {
		writeObjectError(w, http.StatusInternalServerError, "InternalError", "the platform has an outage")
	})
	return p
}

func limiter(perSecond int) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, perSecond/4))
}

// Tables returns the HTTP interface of the table.
func (p *Platform) Tables() http.Handler { return p.tables }

// Objects returns the HTTP interface of the objects, the VM list and the
// control paths.
func (p *Platform) Objects() http.Handler { return p.others }

// Close ends the goroutine of the platform.
func (p *Platform) Close() { p.runner.Close() }

// filter reads the body and applies silence, latency and outage.
func (p *Platform) filter(next http.Handler, outage func(http.ResponseWriter)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, controlPrefix) {
			next.ServeHTTP(w, r)
			return
		}
		// net/http notices that the client has gone only after the body was
		// read.
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, replier.BodyLimit))
		if err != nil {
			http.Error(w, "the body can't be read", http.StatusBadRequest)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		present, err := p.pass(r.Context())
		switch {
		case err != nil:
			panic(http.ErrAbortHandler)
		case present.Outage:
			outage(w)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// pass waits for the end of a silence and for the latency. It returns the
// context's error if that ends first.
func (p *Platform) pass(ctx context.Context) (faults, error) {
	delayed := false
	for {
		present, ok := p.runner.Ask(observe{}).(current)
		switch {
		case !ok:
			return faults{}, http.ErrServerClosed
		case present.resumed != nil:
			select {
			case <-present.resumed:
			case <-ctx.Done():
				return faults{}, ctx.Err()
			}
		case present.faults.LatencyMS > 0 && !delayed:
			delayed = true
			subscription := p.timers.After(time.Duration(present.faults.LatencyMS) * time.Millisecond)
			select {
			case <-subscription.C:
			case <-ctx.Done():
				subscription.Cancel()
				return faults{}, ctx.Err()
			}
		default:
			return present.faults, nil
		}
	}
}

func (p *Platform) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/vms", func(w http.ResponseWriter, _ *http.Request) {
		list, _ := p.runner.Ask(listVMs{}).(vms)
		replier.JSON(w, http.StatusOK, map[string]any{"vms": list.vms})
	})
	mux.HandleFunc("POST "+controlPrefix+"vms", func(w http.ResponseWriter, r *http.Request) {
		var changed vm
		if !replier.Read(w, r, &changed) {
			return
		}
		switch changed.State {
		case stateLive, stateLeaving, stateGone:
			p.runner.Ask(setVM{vm: changed})
			replier.JSON(w, http.StatusOK, changed)
		default:
			replier.Error(w, http.StatusBadRequest, "the state must be live, leaving or gone")
		}
	})
	mux.HandleFunc("POST "+controlPrefix+"faults", func(w http.ResponseWriter, r *http.Request) {
		var c change
		if replier.Read(w, r, &c) {
			changed, _ := p.runner.Ask(c).(current)
			replier.JSON(w, http.StatusOK, changed.faults)
		}
	})
	mux.HandleFunc("GET "+controlPrefix+"stats", func(w http.ResponseWriter, _ *http.Request) {
		read, _ := p.runner.Ask(readStats{}).(counters)
		replier.JSON(w, http.StatusOK, read.stats)
	})
	mux.HandleFunc("GET /"+TableName+"/{key...}", p.getObject)
	mux.HandleFunc("PUT /"+TableName+"/{key...}", p.putObject)
	mux.HandleFunc("DELETE /"+TableName+"/{key...}", p.deleteObject)
	return mux
}
