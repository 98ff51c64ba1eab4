package traffic

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/clientaccount"
	"github.com/sassafrasspur/sassafrasspur/internal/routing"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Request is the request of a caller. It is immutable.
type Request struct {
	ID     ident.RequestID
	Method string
	// Target is the path and query as received; Path is the path alone.
	Target string
	Path   string
	Host   string
	// Header has the headers that are forwarded to the upstream unchanged.
	Header http.Header
	Body   []byte
	// TimeLimit is how long the caller waits, 0 if not specified.
	TimeLimit time.Duration
	// LastEventID is the last event that the caller has received, 0 for none.
	LastEventID ident.EventID
	// AffinityKey is the affinity key sent by the caller, empty if not specified.
	AffinityKey string
	// Key is the key of a client account, empty if the caller sent none.
	Key clientaccount.Key
	// Prompt is nil for a request without a prompt.
	Prompt *Prompt
	// Program is nil for a request that belongs to no program.
	Program *Program
}

// Prompt describes the prompt of a request to an engine.
type Prompt struct {
	// Parts has the parts of the prompt in order.
	Parts []Part
	// Input is the number of tokens of the prompt, Output the maximum number of
	// tokens to generate.
	Input  unit.Tokens
	Output unit.Tokens
}

// Part is a part of a prompt that may also occur in other prompts.
type Part struct {
	ID     ident.PartID
	Tokens unit.Tokens
}

// Program describes the program to which a request belongs.
type Program struct {
	ID      ident.ProgramID
	Session ident.SessionID
	// TimeLeft is the time left until the deadline of the program.
	TimeLeft time.Duration
	// Budget is the number of tokens that all turns of the program together may
	// generate, 0 if the request has no budget.
	Budget unit.Tokens
	// Previous is the turn that this turn continues, empty for the first turn.
	Previous ident.RequestID
}

// Exchange is one request and the state that the filters keep about it.
type Exchange struct {
	Request Request
	Arrived time.Time
	// Deadline is the time by which the caller must be answered.
	Deadline time.Time
	Table    *routing.Table
	Route    *routing.Route
	Pool     ident.PoolID
	// Account is nil if the request has none.
	Account *clientaccount.Account
	// AccountsListed is true if a configuration that was read for the exchange lists
	// client accounts.
	AccountsListed bool
	// Permit waits until the quota of the account allows one more run of the request. Its
	// error is a refusal. It is nil if the account has no limit.
	Permit func(ctx context.Context) error
	// Placement is what is known of the engine of the request's program, nil for nothing.
	Placement Placement
	// Body is the request body sent to the upstream.
	Body []byte
	// Responder receives the answer.
	Responder Responder
	// Trace records the decisions on the exchange for the log.
	Trace Trace
}

// Priority returns the rank of the exchange; 0 is the highest. That of an account
// replaces that of the route.
func (x *Exchange) Priority() int {
	if x.Account != nil {
		return x.Account.Priority
	}
	return x.Route.Priority
}

// AccountID returns the name of the account, empty if the request has none.
func (x *Exchange) AccountID() ident.AccountID {
	if x.Account == nil {
		return ""
	}
	return x.Account.ID
}

// EventTokens returns the number of tokens in one event of the exchange's pool.
func (x *Exchange) EventTokens() unit.Tokens {
	if x.Table != nil {
		if engine := x.Table.Pools[x.Pool].Engine; engine != nil && engine.EventTokens > 0 {
			return engine.EventTokens
		}
	}
	return 1
}

// MaxEvents returns the number of events that carry the largest number of tokens that the
// request may generate, 0 if the caller did not state it.
func (x *Exchange) MaxEvents() int {
	if x.Request.Prompt == nil || x.Request.Prompt.Output <= 0 {
		return 0
	}
	tokens := x.EventTokens()
	return int((x.Request.Prompt.Output-1)/tokens) + 1
}

// TargetFingerprint returns a hash of the request's account, host, method and target.
// Requests of two accounts never have the same one: one of them may crash upstreams, and
// the other be sound.
func (x *Exchange) TargetFingerprint() ident.Fingerprint {
	return ident.Fingerprint(strconv.FormatUint(x.hashTarget().Sum64(), 16))
}

// Fingerprint returns a hash of what TargetFingerprint covers and of the body that the
// upstream receives, also if it is empty. The body of a turn that continues others begins
// with them.
func (x *Exchange) Fingerprint() ident.Fingerprint {
	hash := x.hashTarget()
	// Writing to a hash never fails.
	_, _ = hash.WriteString("body\n")
	_, _ = hash.Write(x.Body)
	return ident.Fingerprint(strconv.FormatUint(hash.Sum64(), 16))
}

func (x *Exchange) hashTarget() *xxhash.Digest {
	hash := xxhash.New()
	for _, part := range []string{strconv.Quote(string(x.AccountID())), x.Request.Host, x.Request.Method, x.Request.Target} {
		// Writing to a hash never fails.
		_, _ = hash.WriteString(part + "\n")
	}
	return hash
}

// Trace records the decisions on one exchange.
type Trace struct {
	Status int
	// Upstreams has the upstreams that the request was sent to, in order.
	Upstreams []ident.UpstreamID
	// Basis says why the first of them was chosen.
	Basis upstream.Basis
	// Served is the last upstream that answered or sent an event, zero if none did.
	Served upstream.Process
	// Refusals counts the upstreams that reported that they did not run the
	// request.
	Refusals int
	// Failures has the reasons of failed attempts.
	Failures []string
	Events   int
	// Holder is the VM that granted the budget of the turn.
	Holder ident.VMID
	// PrepareDuration is the time from the arrival until the budget was reserved and
	// the history read.
	PrepareDuration time.Duration
	// StoreDuration is the time taken to store the turn.
	StoreDuration time.Duration
	// FirstEvent is the time from the arrival to the first event.
	FirstEvent time.Duration
	// UpstreamLimit is the request limit that the last upstream named, 0 if none.
	UpstreamLimit unit.Rate
	// ListAge is the age of the list that the last upstream was chosen from.
	ListAge time.Duration
	// ConfigurationAge is the age of the configuration by which the key was last checked.
	ConfigurationAge time.Duration
	// Shed is nil unless the request was refused for load.
	Shed *Shed
}

// Responder sends the answer of an exchange to the caller. Its methods return an error
// if the caller has disconnected.
type Responder interface {
	// Complete sends a complete response.
	Complete(a upstream.Complete) error
	// Begin sends the head of a stream.
	Begin(status int, header http.Header) error
	Event(e upstream.Event) error
	// End completes a stream.
	End() error
	// Abort closes the connection without completing the answer, so that the caller
	// does not take a partial answer for a complete one.
	Abort()
}

// Handler serves an exchange. A returned error is sent to the caller, unless a part of
// the answer was already sent.
type Handler func(ctx context.Context, x *Exchange) error

// Filter performs one step of the chain.
type Filter interface {
	Serve(ctx context.Context, x *Exchange, next Handler) error
}

// Chain returns a handler that passes an exchange through the filters in order. The
// last filter must not call next, which is nil.
func Chain(filters ...Filter) Handler {
	var next Handler
	for i := len(filters) - 1; i >= 0; i-- {
		filter, following := filters[i], next
		next = func(ctx context.Context, x *Exchange) error { return filter.Serve(ctx, x, following) }
	}
	return next
}
