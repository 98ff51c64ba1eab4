// Package front has the HTTP front end on top of the chain.
//
// It decodes requests, passes them to the chain and encodes the outcome.
// Decisions are made elsewhere, so that another front end can use the same
// chain.
package front

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

// DefaultMaxBody is the largest request body that is read by default.
const DefaultMaxBody unit.Bytes = 1 << 20

// Plans stores plans and confirms them. Errors have a kind of package failure.
type Plans interface {
	// Create stores the plan of an intent of a team's operator.
	Create(ctx context.Context, team ident.TeamID, intent string) (planner.Plan, error)
	// Show returns a plan of a team and whether it is confirmed.
	Show(ctx context.Context, team ident.TeamID, id ident.PlanID) (planner.Plan, bool, error)
	Confirm(ctx context.Context, team ident.TeamID, id ident.PlanID) (planner.Plan, error)
}

// Front serves the HTTP interface.
type Front struct {
	serve     chain.Handler
	identify  chain.Handler
	self      snapshot.Member
	snapshots func() *snapshot.Snapshot
	plans     Plans
	timers    *timer.Service
	addresser *addresser.Addresser
	maxBody   unit.Bytes
	bodyLimit time.Duration
	free      func() map[ident.VMID]unit.Ratio
	log       zerolog.Logger
}

// Option changes how New builds a Front.
type Option func(*Front)

// WithMaxBody sets the largest request body that is read.
func WithMaxBody(n unit.Bytes) Option {
	return func(f *Front) { f.maxBody = n }
}

// WithBodyLimit sets how long a caller may take to send a body.
func WithBodyLimit(limit time.Duration) Option {
	return func(f *Front) { f.bodyLimit = limit }
}

// WithFreeCapacity sets the source of the free part of each node's capacity.
// Without it all nodes count as free.
func WithFreeCapacity(free func() map[ident.VMID]unit.Ratio) Option {
	return func(f *Front) { f.free = free }
}

// WithLog sets the log. Without it nothing is logged.
func WithLog(log zerolog.Logger) Option {
	return func(f *Front) { f.log = log }
}

// New returns the front end of a VM. Requests about programs pass through serve, which is
// the whole chain. All others pass through identify, which is a chain of the
// identify filter alone: it sets the exchange's account from its credential.
func New(
	self snapshot.Member,
	serve, identify chain.Handler,
	snapshots func() *snapshot.Snapshot,
	stored Plans,
	timers *timer.Service,
	chooser *addresser.Addresser,
	options ...Option,
) *Front {
	f := &Front{
		self:      self,
		serve:     serve,
		identify:  identify,
		snapshots: snapshots,
		plans:     stored,
		timers:    timers,
		addresser: chooser,
		maxBody:   DefaultMaxBody,
		bodyLimit: 30 * time.Second,
		free:      func() map[ident.VMID]unit.Ratio { return nil },
		log:       zerolog.Nop(),
	}
	for _, option := range options {
		option(f)
	}
	return f
}

// Handler returns the handler of all services.
func (f *Front) Handler() http.Handler {
	mux := goahttp.NewMuxer()
	decode, encode := f.decoder, encoder
	addressserver.Mount(mux, addressserver.New(addresses.NewEndpoints(&addressService{f}), mux, decode, encode, f.encodingFailed, format))
	programserver.Mount(mux, programserver.New(programs.NewEndpoints(&programService{f}), mux, decode, encode, f.encodingFailed, format))
	planserver.Mount(mux, planserver.New(plans.NewEndpoints(&planService{f}), mux, decode, encode, f.encodingFailed, format))
	statusserver.Mount(mux, statusserver.New(status.NewEndpoints(&statusService{f}), mux, decode, encode, f.encodingFailed, format))
	if router, ok := mux.(interface{ NotFound(http.HandlerFunc) }); ok {
		router.NotFound(f.unknown)
	}
	if router, ok := mux.(interface{ MethodNotAllowed(http.HandlerFunc) }); ok {
		router.MethodNotAllowed(f.unknown)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Callers that keep connections to a leaving node would not ask for
		// another address before the node closes them.
		if s := f.snapshots(); s != nil && s.Entry.Leaving {
			w.Header().Set("Connection", "close")
		}
		r.Body = f.limit(w, r)
		mux.ServeHTTP(w, r)
	})
}

// credentialKey is the context key of the credential.
type credentialKey struct{}

// JWTAuth keeps the credential for the identify filter. The name is given by
// the generated code; the credential is opaque here.
func (f *Front) JWTAuth(ctx context.Context, token string, _ *security.JWTScheme) (context.Context, error) {
	if token == "" {
		return ctx, asProblem(failure.New(failure.Unauthorized, "the request has no credential; send the header Authorization: Bearer TOKEN"))
	}
	return context.WithValue(ctx, credentialKey{}, token), nil
}

func credential(ctx context.Context) string {
	token, _ := ctx.Value(credentialKey{}).(string)
	return token
}

// account identifies who made a request that does not pass the whole chain.
func (f *Front) account(ctx context.Context) (chain.Account, error) {
	x := &chain.Exchange{Credential: credential(ctx)}
	if err := f.identify(ctx, x); err != nil {
		return chain.Account{}, asProblem(err)
	}
	return x.Account, nil
}

// operator identifies an operator and refuses other accounts.
func (f *Front) operator(ctx context.Context) (chain.Account, error) {
	account, err := f.account(ctx)
	if err != nil {
		return account, err
	}
	if account.Role != chain.Operator {
		return account, asProblem(failure.Refusal(failure.Forbidden, 0, "account %s is not an operator; use the credential of an operator account", account.ID))
	}
	return account, nil
}

// current returns the snapshot, or a refusal while there is none.
func (f *Front) current() (*snapshot.Snapshot, error) {
	s := f.snapshots()
	if s == nil || s.Configuration == nil {
		return nil, asProblem(failure.Refusal(failure.ConfigurationStale, startupRetry, "the node has not read the configuration yet; repeat the request later or at another address"))
	}
	return s, nil
}

func (f *Front) encodingFailed(_ context.Context, _ http.ResponseWriter, err error) {
	f.log.Warn().Err(err).Msg("response not sent")
}
