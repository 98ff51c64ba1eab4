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

	// Codes of errors of the store.
	codeUnavailable = 2
	codeUnknown     = 3
	codeCompacted   = 4
	// storeLimit bounds a call of the store through a peer of another region:
	// that of the peer, 600 ms, and the way.
	storeLimit = 750 * time.Millisecond
	// readLimit bounds a read for a peer, which takes several calls of the store
	// if the range is long.
	readLimit = storeLimit + 2*time.Second
)

// committed is the outcome of a transaction as it goes to the peer.
type committed struct {
	Applied bool         `json:"applied"`
	Version rows.Version `json:"version"`
	Rows    []rows.Row   `json:"rows,omitempty"`
}

// watch asks for the changes of a table.
type watch struct {
	Table rows.Table    `json:"table"`
	After rows.Version  `json:"after"`
	Wait  time.Duration `json:"wait"`
}

// handleStore calls the store for a peer, directly.
func (p *Peerlink) handleStore(ctx context.Context, r *jsonrpc2.Request) (any, error) {
	switch r.Method {
	case methodCommit:
		var t rows.Transaction
		if err := json.Unmarshal(*r.Params, &t); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		ctx, cancel := context.WithTimeout(ctx, storeLimit)
		defer cancel()
		outcome, err := p.store.Commit(ctx, t)
		if err != nil {
			return nil, storeError(err)
		}
		switch o := outcome.(type) {
		case rows.Committed:
			return committed{Applied: true, Version: o.Version}, nil
		case rows.Conflict:
			return committed{Rows: o.Rows}, nil
		}
	case methodRead:
		var of rows.Range
		if err := json.Unmarshal(*r.Params, &of); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		ctx, cancel := context.WithTimeout(ctx, readLimit)
		defer cancel()
		page, err := p.store.Read(ctx, of)
		return page, storeError(err)
	case methodChanges:
		var w watch
		if err := json.Unmarshal(*r.Params, &w); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		ctx, cancel := context.WithTimeout(ctx, w.Wait+storeLimit)
		defer cancel()
		page, err := p.store.Changes(ctx, w.Table, w.After, w.Wait)
		return page, storeError(err)
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
}

// storeError is an error of the store as it goes to the peer, nil for none.
func storeError(err error) error {
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
	var answer committed
	if err := p.ask(ctx, address, methodCommit, t, &answer, storeLimit); err != nil {
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
	err := p.ask(ctx, address, methodRead, r, &page, storeLimit)
	return page, err
}

// Changes returns the changes of a table through the peer at an address.
func (p *Peerlink) Changes(ctx context.Context, address string, t rows.Table, after rows.Version, wait time.Duration) (rows.Page, error) {
	var page rows.Page
	err := p.ask(ctx, address, methodChanges, watch{Table: t, After: after, Wait: wait}, &page, wait+storeLimit)
	return page, err
}

// ask calls the store through a peer.
func (p *Peerlink) ask(ctx context.Context, address, method string, question, answer any, limit time.Duration) error {
	err := p.call(ctx, address, limit, method, question, answer)
	var unreached errUnreached
	var answered *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &unreached):
		return errors.Annotate(rows.ErrUnavailable, err.Error())
	case !errors.As(err, &answered):
		return errors.Annotate(rows.ErrUnknown, err.Error())
	}
	switch answered.Code {
	case codeCompacted:
		return rows.ErrCompacted
	case codeUnavailable:
		return errors.Annotate(rows.ErrUnavailable, answered.Message)
	}
	return errors.Annotate(rows.ErrUnknown, answered.Message)
}
