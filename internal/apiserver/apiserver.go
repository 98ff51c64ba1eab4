// Package apiserver implements the HTTP interface for callers and operators.
//
// It decodes requests, passes them to the filter chain and encodes the results.
// Decisions are made in the chain, so that another API server can share it.
package apiserver

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	goahttp "goa.design/goa/v3/http"
	"goa.design/goa/v3/security"

	"github.com/sassafrasspur/sassafrasspur/gen/addresses"
	addressserver "github.com/sassafrasspur/sassafrasspur/gen/http/addresses/server"
	planserver "github.com/sassafrasspur/sassafrasspur/gen/http/plans/server"
	programserver "github.com/sassafrasspur/sassafrasspur/gen/http/programs/server"
	statusserver "github.com/sassafrasspur/sassafrasspur/gen/http/status/server"
	"github.com/sassafrasspur/sassafrasspur/gen/plans"
	"github.com/sassafrasspur/sassafrasspur/gen/programs"
	"github.com/sassafrasspur/sassafrasspur/gen/status"
	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/addresser"
	"github.com/sassafrasspur/sassafrasspur/internal/chain"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/planner"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// DefaultMaxBody is the default limit on the size of a request body.
const DefaultMaxBody unit.Bytes = 1 << 20

// Plans creates, stores and confirms plans. Its errors are of type
// *failure.Error.
type Plans interface {
	// Create computes the plan for an intent of a team's operator and stores it.
	Create(ctx context.Context, team ident.TeamID, intent string) (planner.Plan, error)
	// Show returns a plan of a team and whether it is confirmed.
	Show(ctx context.Context, team ident.TeamID, id ident.PlanID) (planner.Plan, bool, error)
	Confirm(ctx context.Context, team ident.TeamID, id ident.PlanID) (planner.Plan, error)
}

// Apiserver is the HTTP API server of an entry VM.
type Apiserver struct {
	filterChain  chain.Handler
	identify     chain.Handler
	self         snapshot.Member
	snapshots    func() *snapshot.Snapshot
	plans        Plans
	timers       *timer.Service
	addresser    *addresser.Addresser
	maxBody      unit.Bytes
	bodyTimeout  time.Duration
	freeCapacity func() map[ident.VMID]unit.Ratio
	log          zerolog.Logger
}

// Option configures an Apiserver.
type Option func(*Apiserver)

// WithMaxBody sets the limit on the size of a request body.
func WithMaxBody(n unit.Bytes) Option {
	return func(a *Apiserver) { a.maxBody = n }
}

// WithBodyTimeout sets how long a caller may take to send a request body.
func WithBodyTimeout(maxDuration time.Duration) Option {
	return func(a *Apiserver) { a.bodyTimeout = maxDuration }
}

// WithFreeCapacity sets a function that returns the free share of each VM's
// capacity. By default all VMs count as free.
func WithFreeCapacity(freeCapacity func() map[ident.VMID]unit.Ratio) Option {
	return func(a *Apiserver) { a.freeCapacity = freeCapacity }
}

// WithLog sets the logger. By default nothing is logged.
func WithLog(log zerolog.Logger) Option {
	return func(a *Apiserver) { a.log = log }
}

// New returns the API server of a VM. Requests for programs pass through
// filterChain, the complete chain. All others pass through identify, a chain with
// only the authenticator, which sets the exchange's account from its
// credential.
func New(
	self snapshot.Member,
	filterChain, identify chain.Handler,
	snapshots func() *snapshot.Snapshot,
	planStore Plans,
	timers *timer.Service,
	addressChooser *addresser.Addresser,
	options ...Option,
) *Apiserver {
	a := &Apiserver{
		self:         self,
		filterChain:  filterChain,
		identify:     identify,
		snapshots:    snapshots,
		plans:        planStore,
		timers:       timers,
		addresser:    addressChooser,
		maxBody:      DefaultMaxBody,
		bodyTimeout:  30 * time.Second,
		freeCapacity: func() map[ident.VMID]unit.Ratio { return nil },
		log:          zerolog.Nop(),
	}
	for _, option := range options {
		option(a)
	}
	return a
}

// Handler returns an HTTP handler for all services.
func (a *Apiserver) Handler() http.Handler {
	mux := goahttp.NewMuxer()
	decode, encode := a.decoder, encoder
	addressserver.Mount(mux, addressserver.New(addresses.NewEndpoints(&addressService{a}), mux, decode, encode, a.encodingFailed, formatError))
	programserver.Mount(mux, programserver.New(programs.NewEndpoints(&programService{a}), mux, decode, encode, a.encodingFailed, formatError))
	planserver.Mount(mux, planserver.New(plans.NewEndpoints(&planService{a}), mux, decode, encode, a.encodingFailed, formatError))
	statusserver.Mount(mux, statusserver.New(status.NewEndpoints(&statusService{a}), mux, decode, encode, a.encodingFailed, formatError))
	if router, ok := mux.(interface{ NotFound(http.HandlerFunc) }); ok {
		router.NotFound(a.serveNotFound)
	}
	if router, ok := mux.(interface{ MethodNotAllowed(http.HandlerFunc) }); ok {
		router.MethodNotAllowed(a.serveNotFound)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Callers that reuse connections to a leaving VM would otherwise not
		// switch to another address until the VM closes them.
		if s := a.snapshots(); s != nil && s.Entry.Leaving {
			w.Header().Set("Connection", "close")
		}
		r.Body = a.limitBody(w, r)
		mux.ServeHTTP(w, r)
	})
}

// credentialKey is the context key of a request's credential.
type credentialKey struct{}

// JWTAuth stores the credential in the context for the authenticator, which
// checks it. The generated code requires the method's name; the credential need
// not be a JWT.
func (a *Apiserver) JWTAuth(ctx context.Context, token string, _ *security.JWTScheme) (context.Context, error) {
	if token == "" {
		return ctx, toProblem(failure.New(failure.Unauthorized, "the request has no credential; send the header Authorization: Bearer TOKEN"))
	}
	return context.WithValue(ctx, credentialKey{}, token), nil
}

func credential(ctx context.Context) string {
	token, _ := ctx.Value(credentialKey{}).(string)
	return token
}

// account returns the account of a request that does not pass through the
// complete chain.
func (a *Apiserver) account(ctx context.Context) (chain.Account, error) {
	x := &chain.Exchange{Credential: credential(ctx)}
	if err := a.identify(ctx, x); err != nil {
		return chain.Account{}, toProblem(err)
	}
	return x.Account, nil
}

// operator returns the account of a request, or an error if it is not an
// operator's.
func (a *Apiserver) operator(ctx context.Context) (chain.Account, error) {
	account, err := a.account(ctx)
	if err != nil {
		return account, err
	}
	if account.Role != chain.Operator {
		return account, toProblem(failure.Refusal(failure.Forbidden, 0, "account %s is not an operator; use the credential of an operator account", account.ID))
	}
	return account, nil
}

// currentSnapshot returns the current snapshot, or an error until the
// configuration has been read.
func (a *Apiserver) currentSnapshot() (*snapshot.Snapshot, error) {
	s := a.snapshots()
	if s == nil || s.Configuration == nil {
		return nil, toProblem(failure.Refusal(failure.ConfigurationStale, startupRetryDelay, "this VM has not read the configuration yet; retry later or at another address"))
	}
	return s, nil
}

func (a *Apiserver) encodingFailed(_ context.Context, _ http.ResponseWriter, err error) {
	a.log.Warn().Err(err).Msg("response not sent")
}
