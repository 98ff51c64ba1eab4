package peerlink

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
)

const (
	// codeListNotRead is returned while the VM has not yet read the requested
	// list.
	codeListNotRead = 5
	// listTimeout bounds a request for a list to a VM in the same failure domain.
	// A complete list of 2,600 upstreams takes 340 KB, one of 440 VMs 130 KB.
	listTimeout = 400 * time.Millisecond
)

// upstreamsRequest and membersRequest identify the version of a list that the
// caller already has.
type (
	upstreamsRequest struct {
		Digest upstream.Digest `json:"digest"`
	}
	membersRequest struct {
		Digest snapshot.MemberDigest `json:"digest"`
	}
)

// handleList returns the difference between a list of the view and the version
// that the peer has.
func (p *Peerlink) handleList(r *jsonrpc2.Request, view snapshot.Entry) (any, error) {
	if r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	if r.Method == methodMembers {
		return p.handleMembers(*r.Params, view)
	}
	return p.handleUpstreams(*r.Params, view)
}

func (p *Peerlink) handleUpstreams(params json.RawMessage, view snapshot.Entry) (any, error) {
	var request upstreamsRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	if view.UpstreamList == nil {
		return nil, &jsonrpc2.Error{Code: codeListNotRead, Message: "upstreams not read yet"}
	}
	change := view.UpstreamList.ChangeSince(request.Digest)
	change.Age = p.timers.Now().Sub(view.UpstreamsAsOf)
	return change, nil
}

func (p *Peerlink) handleMembers(params json.RawMessage, view snapshot.Entry) (any, error) {
	var request membersRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	if view.MemberList == nil {
		return nil, &jsonrpc2.Error{Code: codeListNotRead, Message: "entry VMs not read yet"}
	}
	return view.MemberList.ChangeSince(request.Digest, p.timers.Now()), nil
}

// Upstreams returns the difference between a peer's list of upstreams and the
// version that the caller has.
func (p *Peerlink) Upstreams(ctx context.Context, e effect.FetchUpstreams) (upstream.Change, error) {
	var change upstream.Change
	err := p.call(ctx, e.Address, listTimeout, methodUpstreams, upstreamsRequest{Digest: e.Known}, &change)
	return change, errors.Annotatef(err, "get upstreams from peer at %s", e.Address)
}

// Members returns the difference between a peer's list of entry VMs and the
// version that the caller has.
func (p *Peerlink) Members(ctx context.Context, e effect.FetchMembers) (snapshot.MemberChange, error) {
	var change snapshot.MemberChange
	err := p.call(ctx, e.Address, listTimeout, methodMembers, membersRequest{Digest: e.Known}, &change)
	return change, errors.Annotatef(err, "get entry VMs from peer at %s", e.Address)
}
