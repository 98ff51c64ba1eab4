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
	// codeNoList says that a VM has no list of upstreams.
	codeNoList = 5
	// copyLimit bounds the wait for a list from a VM of the own failure domain.
	// The whole list of 2,600 upstreams has 340 KB.
	copyLimit = 400 * time.Millisecond
)

// known names the list that a peer has.
type known struct {
	Digest upstream.Digest `json:"digest"`
}

// handleUpstreams answers how the list of a view differs from that of the peer.
func (p *Peerlink) handleUpstreams(r *jsonrpc2.Request, view snapshot.Entry) (any, error) {
	var of known
	if r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	if err := json.Unmarshal(*r.Params, &of); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	if view.UpstreamList == nil {
		return nil, &jsonrpc2.Error{Code: codeNoList, Message: "the upstreams were not read yet"}
	}
	change := view.UpstreamList.After(of.Digest)
	change.Age = p.timers.Now().Sub(view.UpstreamsAsOf)
	return change, nil
}

// Upstreams asks a peer how its list of upstreams differs from a known one.
func (p *Peerlink) Upstreams(ctx context.Context, e effect.AskUpstreams) (upstream.Change, error) {
	var change upstream.Change
	err := p.call(ctx, e.Address, copyLimit, methodUpstreams, known{Digest: e.Known}, &change)
	return change, errors.Annotatef(err, "upstreams of the peer at %s", e.Address)
}
