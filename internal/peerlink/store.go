package peerlink

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/sassafrasspur/sassafrasspur/internal/rows"
)

const (
	methodCommit  = "store.commit"
	methodRead    = "store.read"
	methodChanges = "store.changes"

	// Error codes of store calls.
	codeUnavailable = 2
	codeUnknown     = 3
	codeCompacted   = 4
	// storeTimeout bounds a store call through a peer in another region: 600 ms
	// for the peer's own call, plus the round trip between regions.
	storeTimeout = 750 * time.Millisecond
	// readTimeout bounds a read on behalf of a peer, which takes several store
	// calls if the range is long.
	readTimeout = storeTimeout + 2*time.Second
)

// commitResult is the JSON form of a transaction's outcome.
type commitResult struct {
	Applied bool         `json:"applied"`
	Version rows.Version `json:"version"`
	Rows    []rows.Row   `json:"rows,omitempty"`
}

// changesRequest has the parameters of store.changes.
type changesRequest struct {
	Table rows.Table    `json:"table"`
	After rows.Version  `json:"after"`
	Wait  time.Duration `json:"wait"`
}

// handleStore calls the store on behalf of a peer. The call is not passed on to
// further peers.
func (p *Peerlink) handleStore(ctx context.Context, r *jsonrpc2.Request) (any, error) {
	switch r.Method {
	case methodCommit:
		var t rows.Transaction
		if err := json.Unmarshal(*r.Params, &t); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		outcome, err := p.store.Commit(ctx, t)
		if err != nil {
			return nil, encodeStoreError(err)
		}
		switch o := outcome.(type) {
		case rows.Committed:
			return commitResult{Applied: true, Version: o.Version}, nil
		case rows.Conflict:
			return commitResult{Rows: o.Rows}, nil
		}
	case methodRead:
		var requested rows.Range
		if err := json.Unmarshal(*r.Params, &requested); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		page, err := p.store.Read(ctx, requested)
		return page, encodeStoreError(err)
	case methodChanges:
		var request changesRequest
		if err := json.Unmarshal(*r.Params, &request); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		ctx, cancel := context.WithTimeout(ctx, request.Wait+storeTimeout)
		defer cancel()
		page, err := p.store.Changes(ctx, request.Table, request.After, request.Wait)
		return page, encodeStoreError(err)
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
}

// encodeStoreError returns the JSON-RPC form of an error of the store, or nil if
// there is none.
func encodeStoreError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, rows.ErrCompacted):
		return &jsonrpc2.Error{Code: codeCompacted, Message: err.Error()}
	case errors.Is(err, rows.ErrUnavailable):
		return &jsonrpc2.Error{Code: codeUnavailable, Message: err.Error()}
	}
	return &jsonrpc2.Error{Code: codeUnknown, Message: err.Error()}
}

// Commit applies a transaction through the peer at an address.
func (p *Peerlink) Commit(ctx context.Context, address string, t rows.Transaction) (rows.Outcome, error) {
	var answer commitResult
	if err := p.callStore(ctx, address, methodCommit, t, &answer, storeTimeout); err != nil {
		return nil, err
	}
	if answer.Applied {
		return rows.Committed{Version: answer.Version}, nil
	}
	return rows.Conflict{Rows: answer.Rows}, nil
}

// Read returns the rows of a range through the peer at an address.
func (p *Peerlink) Read(ctx context.Context, address string, r rows.Range) (rows.Page, error) {
	var page rows.Page
	err := p.callStore(ctx, address, methodRead, r, &page, storeTimeout)
	return page, err
}

// Changes returns the changes of a table through the peer at an address.
func (p *Peerlink) Changes(ctx context.Context, address string, t rows.Table, after rows.Version, wait time.Duration) (rows.Page, error) {
	var page rows.Page
	err := p.callStore(ctx, address, methodChanges, changesRequest{Table: t, After: after, Wait: wait}, &page, wait+storeTimeout)
	return page, err
}

// callStore calls the store through a peer and maps the error to one of the
// package rows. A call that was not sent is ErrUnavailable; one without a
// response is ErrOutcomeUnknown.
func (p *Peerlink) callStore(ctx context.Context, address, method string, params, rpcResult any, limit time.Duration) error {
	err := p.call(ctx, address, limit, method, params, rpcResult)
	var notSent notSentError
	var rpcErr *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &notSent):
		return errors.Annotate(rows.ErrUnavailable, err.Error())
	case !errors.As(err, &rpcErr):
		return errors.Annotate(rows.ErrOutcomeUnknown, err.Error())
	}
	switch rpcErr.Code {
	case codeCompacted:
		return rows.ErrCompacted
	case codeUnavailable:
		return errors.Annotate(rows.ErrUnavailable, rpcErr.Message)
	}
	return errors.Annotate(rows.ErrOutcomeUnknown, rpcErr.Message)
}
