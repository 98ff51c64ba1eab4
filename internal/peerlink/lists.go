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
	// codeNoList says that a VM has not read the list that it is asked for.
	codeNoList = 5
	// copyLimit bounds the wait for a list from a VM of the own failure domain.
	// The whole list of 2,600 upstreams has 340 KB, that of 440 VMs 130 KB.
	copyLimit = 400 * time.Millisecond
)

// knownUpstreams and knownMembers name the list that a peer has.
type (
	knownUpstreams struct {
		Digest upstream.Digest `json:"digest"`
	}
	knownMembers struct {
		Digest snapshot.MemberDigest `json:"digest"`
	}
)

// handleList answers how a list of a view differs from that of the peer.
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
	var of knownUpstreams
	if err := json.Unmarshal(params, &of); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	if view.UpstreamList == nil {
		return nil, &jsonrpc2.Error{Code: codeNoList, Message: "the upstreams were not read yet"}
	}
	change := view.UpstreamList.After(of.Digest)
	change.Age = p.timers.Now().Sub(view.UpstreamsAsOf)
	return change, nil
}

func (p *Peerlink) handleMembers(params json.RawMessage, view snapshot.Entry) (any, error) {
	var of knownMembers
	if err := json.Unmarshal(params, &of); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	if view.MemberList == nil {
		return nil, &jsonrpc2.Error{Code: codeNoList, Message: "the entry VMs were not read yet"}
	}
	return view.MemberList.After(of.Digest, p.timers.Now()), nil
}

// Upstreams asks a peer how its list of upstreams differs from a known one.
func (p *Peerlink) Upstreams(ctx context.Context, e effect.AskUpstreams) (upstream.Change, error) {
	var change upstream.Change
	err := p.call(ctx, e.Address, copyLimit, methodUpstreams, knownUpstreams{Digest: e.Known}, &change)
	return change, errors.Annotatef(err, "upstreams of the peer at %s", e.Address)
}

// Members asks a peer how its list of entry VMs differs from a known one.
func (p *Peerlink) Members(ctx context.Context, e effect.AskMembers) (snapshot.MemberChange, error) {
	var change snapshot.MemberChange
	err := p.call(ctx, e.Address, copyLimit, methodMembers, knownMembers{Digest: e.Known}, &change)
	return change, errors.Annotatef(err, "entry VMs of the peer at %s", e.Address)
}
