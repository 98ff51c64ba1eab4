// Package client sends requests to the entry VMs.
//
// A request that fails on its connection is sent again to another address. This
// is safe: programs, calls and plans have ids by which a repeat is recognized,
// and a plan that is stored twice changes nothing.
package client

import (
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"
	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	"github.com/sassafrasspur/sassafrasspur/gen/addresses"
	addressclient "github.com/sassafrasspur/sassafrasspur/gen/http/addresses/client"
	planclient "github.com/sassafrasspur/sassafrasspur/gen/http/plans/client"
	programclient "github.com/sassafrasspur/sassafrasspur/gen/http/programs/client"
	statusclient "github.com/sassafrasspur/sassafrasspur/gen/http/status/client"
	viewclient "github.com/sassafrasspur/sassafrasspur/gen/http/view/client"
	"github.com/sassafrasspur/sassafrasspur/gen/plans"
	"github.com/sassafrasspur/sassafrasspur/gen/problem"
	"github.com/sassafrasspur/sassafrasspur/gen/programs"
	"github.com/sassafrasspur/sassafrasspur/gen/status"
	"github.com/sassafrasspur/sassafrasspur/gen/view"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// Unreachable is the kind of the error when no entry VM gave an answer.
const Unreachable = failure.Kind("unreachable")

const (
	// connectTimeout is far above the delay between regions; a VM that is gone
	// does not refuse the connection.
	connectTimeout = 3 * time.Second
	// firstPause and longestPause bound the wait before the addresses are tried
	// in another round.
	firstPause   = 250 * time.Millisecond
	longestPause = 2 * time.Second
)

// Client sends requests to entry VMs.
type Client struct {
	servers []string
	token   *string
	timers  *timer.Service
	doer    *http.Client
	rounds  int
	silence time.Duration
}

// Option changes how New builds a Client.
type Option func(*Client)

// WithRounds sets how often all addresses are tried. The default of 8 covers
// about 10 s, in which another VM takes over the programs of a dead one.
func WithRounds(n int) Option {
	return func(c *Client) { c.rounds = n }
}

// WithSilence sets how long an answer may show no progress before the request
// is sent to another address.
func WithSilence(d time.Duration) Option {
	return func(c *Client) { c.silence = d }
}

// New returns a client of the entry VMs at servers, each an IP address and a
// port, in the order in which they are tried.
func New(servers []string, token string, timers *timer.Service, options ...Option) *Client {
	c := &Client{
		servers: slices.Clone(servers),
		timers:  timers,
		rounds:  8,
		silence: time.Minute,
		doer: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
			IdleConnTimeout:     longestPause,
			MaxIdleConnsPerHost: 1,
		}},
	}
	if token != "" {
		c.token = &token
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Ask replaces the addresses by those that the current ones answer. The current
// ones are kept behind them.
func (c *Client) Ask(ctx context.Context) error {
	list, err := c.Addresses(ctx, "")
	if err != nil {
		return err
	}
	var servers []string
	for _, a := range list.Addresses {
		servers = append(servers, a.Address)
	}
	for _, server := range c.servers {
		if !slices.Contains(servers, server) {
			servers = append(servers, server)
		}
	}
	c.servers = servers
	return nil
}

// Addresses returns the addresses for an account.
func (c *Client) Addresses(ctx context.Context, account string) (*addresses.ListResult, error) {
	p := &addresses.ListPayload{Token: c.token}
	if account != "" {
		p.Account = &account
	}
	return send[*addresses.ListResult](ctx, c, func(host string) goa.Endpoint { return c.addresses(host).List() }, p)
}

// Open opens a program.
func (c *Client) Open(ctx context.Context, p programs.OpenPayload) (*programs.ProgramRef, error) {
	p.Token = c.token
	return send[*programs.ProgramRef](ctx, c, func(host string) goa.Endpoint { return c.programs(host).Open() }, &p)
}

// Child opens a sub-agent.
func (c *Client) Child(ctx context.Context, p programs.ChildPayload) (*programs.ProgramRef, error) {
	p.Token = c.token
	return send[*programs.ProgramRef](ctx, c, func(host string) goa.Endpoint { return c.programs(host).Child() }, &p)
}

// End ends a program.
func (c *Client) End(ctx context.Context, program string) (*programs.ProgramRef, error) {
	p := &programs.EndPayload{Token: c.token, Program: program}
	return send[*programs.ProgramRef](ctx, c, func(host string) goa.Endpoint { return c.programs(host).End() }, p)
}

// Show returns a program.
func (c *Client) Show(ctx context.Context, program string) (*programs.Program, error) {
	p := &programs.ShowPayload{Token: c.token, Program: program}
	return send[*programs.Program](ctx, c, func(host string) goa.Endpoint { return c.programs(host).Show() }, p)
}

// CreatePlan creates a plan of an intent in TOML.
func (c *Client) CreatePlan(ctx context.Context, intent string) (*plans.Plan, error) {
	p := &plans.CreatePayload{Token: c.token, Intent: intent}
	return send[*plans.Plan](ctx, c, func(host string) goa.Endpoint { return c.plans(host).Create() }, p)
}

// ShowPlan returns a plan.
func (c *Client) ShowPlan(ctx context.Context, plan string) (*plans.Plan, error) {
	p := &plans.ShowPayload{Token: c.token, Plan: plan}
	return send[*plans.Plan](ctx, c, func(host string) goa.Endpoint { return c.plans(host).Show() }, p)
}

// ConfirmPlan puts a plan in force.
func (c *Client) ConfirmPlan(ctx context.Context, plan string) (*plans.Plan, error) {
	p := &plans.ConfirmPayload{Token: c.token, Plan: plan}
	return send[*plans.Plan](ctx, c, func(host string) goa.Endpoint { return c.plans(host).Confirm() }, p)
}

// Status returns the state of the system as one entry VM sees it.
func (c *Client) Status(ctx context.Context) (*status.ShowResult, error) {
	p := &status.ShowPayload{Token: c.token}
	return send[*status.ShowResult](ctx, c, func(host string) goa.Endpoint { return c.status(host).Show() }, p)
}

// Upstreams returns the upstreams.
func (c *Client) Upstreams(ctx context.Context) ([]*status.Upstream, error) {
	p := &status.UpstreamsPayload{Token: c.token}
	return send[[]*status.Upstream](ctx, c, func(host string) goa.Endpoint { return c.status(host).Upstreams() }, p)
}

// VMs returns the entry VMs.
func (c *Client) VMs(ctx context.Context) ([]*status.VM, error) {
	p := &status.VmsPayload{Token: c.token}
	return send[[]*status.VM](ctx, c, func(host string) goa.Endpoint { return c.status(host).Vms() }, p)
}

// View returns what one VM believes. The addresses of this client are metrics
// addresses for it.
func (c *Client) View(ctx context.Context) (*view.ShowResult, error) {
	return send[*view.ShowResult](ctx, c, func(host string) goa.Endpoint { return c.view(host).Show() }, nil)
}

const scheme = "http"

func (c *Client) addresses(host string) *addressclient.Client {
	return addressclient.NewClient(scheme, host, c.doer, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
}

func (c *Client) programs(host string) *programclient.Client {
	return programclient.NewClient(scheme, host, c.doer, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
}

func (c *Client) plans(host string) *planclient.Client {
	return planclient.NewClient(scheme, host, c.doer, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
}

func (c *Client) status(host string) *statusclient.Client {
	return statusclient.NewClient(scheme, host, c.doer, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
}

func (c *Client) view(host string) *viewclient.Client {
	return viewclient.NewClient(scheme, host, c.doer, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
}

// send sends a request whose answer is one value.
func send[T any](ctx context.Context, c *Client, endpoint func(host string) goa.Endpoint, payload any) (T, error) {
	var result T
	err := c.retry(ctx, func(host string) error {
		ctx, cancel := context.WithTimeout(ctx, c.silence)
		defer cancel()
		got, err := endpoint(host)(ctx, payload)
		if err != nil {
			return err
		}
		value, ok := got.(T)
		if !ok {
			return failure.New(failure.Internal, "the answer is a %T; use a command line of the same release as the servers", got)
		}
		result = value
		return nil
	})
	return result, err
}

// elsewhere lists the kinds that another address may answer better.
var elsewhere = []failure.Kind{failure.PlatformUnavailable, failure.ShuttingDown, failure.ConfigurationStale}

// retry tries the addresses in turn until one gives an answer that another one
// would give as well.
func (c *Client) retry(ctx context.Context, try func(host string) error) error {
	if len(c.servers) == 0 {
		return failure.Refusal(failure.InvalidRequest, 0, "no address of an entry VM is given; give some with --server, or one to ask with --ask")
	}
	var last error
	sent := false
	pause := firstPause
	for round := range c.rounds {
		if round > 0 {
			if err := c.wait(ctx, pause); err != nil {
				return err
			}
			pause = min(2*pause, longestPause)
		}
		for _, host := range c.servers {
			err := try(host)
			if err == nil {
				return nil
			}
			if ctx.Err() != nil {
				return failure.New(Unreachable, "the request was interrupted; send it again with the same ids")
			}
			known, ok := decode(err)
			last = err
			if ok {
				// A refusal speaks for its own try. An earlier try may have
				// reached the owner through another VM.
				known.NotRun = known.NotRun && !sent
				last = known
			}
			if ok && !slices.Contains(elsewhere, known.Kind) {
				return known
			}
			sent = sent || mayHaveRun(known, err)
		}
	}
	if known, ok := errors.AsType[*failure.Error](last); ok {
		return known
	}
	return failure.New(Unreachable, "no entry VM answered (last: %v); check the addresses, or ask another one with --ask, and send the request again with the same ids", last)
}

// mayHaveRun reports whether a request that failed may run. Without a connection
// nothing was sent.
func mayHaveRun(known *failure.Error, err error) bool {
	if known != nil {
		return !known.NotRun
	}
	operation, ok := errors.AsType[*net.OpError](err)
	return !ok || operation.Op != "dial"
}

func (c *Client) wait(ctx context.Context, d time.Duration) error {
	subscription := c.timers.After(d)
	defer subscription.Cancel()
	select {
	case <-subscription.C:
		return nil
	case <-ctx.Done():
		return failure.New(Unreachable, "the request was interrupted; send it again with the same ids")
	}
}

// decode returns the error that a server answered. All other errors are those
// of the connection.
func decode(err error) (*failure.Error, bool) {
	if p, ok := errors.AsType[*problem.Problem](err); ok {
		return &failure.Error{
			Kind:       failure.Kind(p.Kind),
			NotRun:     p.NotRun,
			RetryAfter: time.Duration(p.RetryAfterMs) * time.Millisecond,
			Message:    p.Message,
		}, true
	}
	return errors.AsType[*failure.Error](err)
}
