package peerlink

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/sassafrasspur/sassafrasspur/internal/quotakeeper"
)

const (
	methodQuota = "quota.take"
	// codeNoQuota is returned by a VM that does not serve callers and keeps no quotas.
	codeNoQuota = 6
	// quotaTimeout bounds a request for tokens to a VM in another region.
	quotaTimeout = 200 * time.Millisecond
)

// Quotas grants tokens of client accounts from the quotas that this VM keeps.
type Quotas interface {
	Take(r quotakeeper.Request) quotakeeper.Answer
}

// ServeOption configures Serve.
type ServeOption func(*server)

// WithQuotas sets the quotas from which tokens of client accounts are granted.
func WithQuotas(q Quotas) ServeOption { return func(s *server) { s.quotas = q } }

// quotaAnswer is the JSON form of an answer. Reason is set in that of a VM that can't
// grant.
type quotaAnswer struct {
	First        int                `json:"first,omitempty"`
	Further      int                `json:"further,omitempty"`
	Spare        int                `json:"spare,omitempty"`
	FirstRetry   time.Duration      `json:"first_retry,omitempty"`
	FurtherRetry time.Duration      `json:"further_retry,omitempty"`
	Reason       quotakeeper.Reason `json:"reason,omitempty"`
	Retry        time.Duration      `json:"retry,omitempty"`
	ListAge      time.Duration      `json:"list_age,omitempty"`
}

// handleQuota serves a request of a peer for tokens.
func (p *Peerlink) handleQuota(r *jsonrpc2.Request, quotas Quotas) (any, error) {
	if quotas == nil {
		return nil, &jsonrpc2.Error{Code: codeNoQuota, Message: "this VM keeps no quotas"}
	}
	if r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	var request quotakeeper.Request
	if err := json.Unmarshal(*r.Params, &request); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	switch a := quotas.Take(request).(type) {
	case quotakeeper.Granted:
		return quotaAnswer{
			First: a.First, Further: a.Further, Spare: a.Spare,
			FirstRetry: a.FirstRetry, FurtherRetry: a.FurtherRetry, ListAge: a.ListAge,
		}, nil
	case quotakeeper.Unavailable:
		return quotaAnswer{Reason: a.Reason, Retry: a.Retry, ListAge: a.ListAge}, nil
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "unknown answer of the quotas"}
}

// TakeQuota requests tokens of a client account from the peer at an address.
func (p *Peerlink) TakeQuota(ctx context.Context, address string, r quotakeeper.Request) (quotakeeper.Answer, error) {
	var a quotaAnswer
	if err := p.call(ctx, address, quotaTimeout, methodQuota, r, &a); err != nil {
		return nil, errors.Annotatef(err, "take tokens from peer at %s", address)
	}
	if a.Reason != "" {
		return quotakeeper.Unavailable{Reason: a.Reason, Retry: a.Retry, ListAge: a.ListAge}, nil
	}
	return quotakeeper.Granted{
		First: a.First, Further: a.Further, Spare: a.Spare,
		FirstRetry: a.FirstRetry, FurtherRetry: a.FurtherRetry, ListAge: a.ListAge,
	}, nil
}
