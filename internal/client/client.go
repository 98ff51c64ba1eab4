// Package client is a client of the entry VMs' API.
//
// A request whose connection fails is sent again to another address. This is
// safe: programs, calls and confirmations are idempotent by their ids, and a plan
// that is created twice does not take effect before it is confirmed.
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

// Unreachable is the kind of an error without a response from any entry VM.
const Unreachable = failure.Kind("unreachable")

const (
	// connectTimeout bounds connecting to a VM. It is far above the delay between
	// regions. A VM that is down does not refuse connections.
	connectTimeout = 3 * time.Second
	// minRetryDelay and maxRetryDelay bound the delay before another round over
	// all addresses.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// Client sends requests to entry VMs. It retries them at other addresses.
type Client struct {
	servers     []string
	token       *string
	timers      *timer.Service
	httpClient  *http.Client
	maxRounds   int
	idleTimeout time.Duration
}

// Option configures a Client.
type Option func(*Client)

// WithMaxRounds sets how many times all addresses are tried at most. The default
// of 8 rounds takes about 10 s, within which another VM takes over the programs of
// a failed one.
func WithMaxRounds(n int) Option {
	return func(c *Client) { c.maxRounds = n }
}

// WithIdleTimeout sets the idle timeout: how long a response may make no progress
// before the request is sent to another address.
func WithIdleTimeout(d time.Duration) Option {
	return func(c *Client) { c.idleTimeout = d }
}

// New returns a client of the entry VMs at servers, each an IP address with a
// port. They are tried in the given order.
func New(servers []string, token string, timers *timer.Service, options ...Option) *Client {
	c := &Client{
		servers:     slices.Clone(servers),
		timers:      timers,
		maxRounds:   8,
		idleTimeout: time.Minute,
		httpClient: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
			IdleConnTimeout:     maxRetryDelay,
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

// UpdateServers requests the list of addresses from the entry VMs and puts it in
// front of the current addresses.
func (c *Client) UpdateServers(ctx context.Context) error {
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

// Addresses returns the addresses that an account should use. An empty account
// stands for that of the token.
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

// CreatePlan creates a plan for an intent, which is in TOML.
func (c *Client) CreatePlan(ctx context.Context, intent string) (*plans.Plan, error) {
	p := &plans.CreatePayload{Token: c.token, Intent: intent}
	return send[*plans.Plan](ctx, c, func(host string) goa.Endpoint { return c.plans(host).Create() }, p)
}

// ShowPlan returns a plan.
func (c *Client) ShowPlan(ctx context.Context, plan string) (*plans.Plan, error) {
	p := &plans.ShowPayload{Token: c.token, Plan: plan}
	return send[*plans.Plan](ctx, c, func(host string) goa.Endpoint { return c.plans(host).Show() }, p)
}

// ConfirmPlan makes a plan effective.
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

// View returns the current view of one VM. VMs serve it at their metrics address,
// so the client must have been created with metrics addresses.
func (c *Client) View(ctx context.Context) (*view.ShowResult, error) {
	return send[*view.ShowResult](ctx, c, func(host string) goa.Endpoint { return c.view(host).Show() }, nil)
}

const scheme = "http"

func (c *Client) addresses(host string) *addressclient.Client {
	return addressclient.NewClient(scheme, host, c.httpClient, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
}

func (c *Client) programs(host string) *programclient.Client {
	return programclient.NewClient(scheme, host, c.httpClient, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
}

func (c *Client) plans(host string) *planclient.Client {
	return planclient.NewClient(scheme, host, c.httpClient, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
}

func (c *Client) status(host string) *statusclient.Client {
	return statusclient.NewClient(scheme, host, c.httpClient, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
}

func (c *Client) view(host string) *viewclient.Client {
	return viewclient.NewClient(scheme, host, c.httpClient, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
}

// send sends a request whose response is a single value.
func send[T any](ctx context.Context, c *Client, endpoint func(host string) goa.Endpoint, payload any) (T, error) {
	var result T
	err := c.retry(ctx, func(host string) error {
		ctx, cancel := context.WithTimeout(ctx, c.idleTimeout)
		defer cancel()
		got, err := endpoint(host)(ctx, payload)
		if err != nil {
			return err
		}
		value, ok := got.(T)
		if !ok {
			return failure.New(failure.Internal, "unexpected response of type %T; use a client of the same release as the servers", got)
		}
		result = value
		return nil
	})
	return result, err
}

// retryableKinds are the failure kinds after which another address is tried.
var retryableKinds = []failure.Kind{failure.PlatformUnavailable, failure.ShuttingDown, failure.ConfigurationStale}

// retry tries the addresses in turn until an attempt succeeds or fails in a way
// that does not depend on the address.
func (c *Client) retry(ctx context.Context, try func(host string) error) error {
	if len(c.servers) == 0 {
		return failure.Refusal(failure.InvalidRequest, 0, "no address of an entry VM is given; give some with --server, or one to ask with --ask")
	}
	var last error
	sent := false
	roundDelay := minRetryDelay
	for round := range c.maxRounds {
		if round > 0 {
			if err := c.sleep(ctx, roundDelay); err != nil {
				return err
			}
			roundDelay = min(2*roundDelay, maxRetryDelay)
		}
		for _, host := range c.servers {
			err := try(host)
			if err == nil {
				return nil
			}
			if ctx.Err() != nil {
				return failure.New(Unreachable, "the request was interrupted; send it again with the same ids")
			}
			serverErr, ok := serverError(err)
			last = err
			if ok {
				// NotRun applies to this attempt only. An earlier attempt may
				// have reached the owner through another VM.
				serverErr.NotRun = serverErr.NotRun && !sent
				last = serverErr
			}
			if ok && !slices.Contains(retryableKinds, serverErr.Kind) {
				return serverErr
			}
			sent = sent || mayHaveRun(serverErr, err)
		}
	}
	if serverErr, ok := errors.AsType[*failure.Error](last); ok {
		return serverErr
	}
	return failure.New(Unreachable, "no entry VM answered (last: %v); check the addresses, or ask another one with --ask, and send the request again with the same ids", last)
}

// mayHaveRun reports whether a failed request may have been executed. If
// connecting failed, nothing was sent.
func mayHaveRun(serverErr *failure.Error, err error) bool {
	if serverErr != nil {
		return !serverErr.NotRun
	}
	operation, ok := errors.AsType[*net.OpError](err)
	return !ok || operation.Op != "dial"
}

func (c *Client) sleep(ctx context.Context, d time.Duration) error {
	subscription := c.timers.After(d)
	defer subscription.Cancel()
	select {
	case <-subscription.C:
		return nil
	case <-ctx.Done():
		return failure.New(Unreachable, "the request was interrupted; send it again with the same ids")
	}
}

// serverError returns the error that a server returned, if err is one. All other
// errors are errors of the connection.
func serverError(err error) (*failure.Error, bool) {
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
