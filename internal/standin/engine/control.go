package engine

import (
	"encoding/binary"
	"net/http"
	"strconv"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/batcher"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/prefixcache"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/responder"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// minKVBytes is the size of a token hash, of which an exported prefix has one
// per token.
const minKVBytes = 4

// cachedTokensHeader carries the number of tokens of an exported prefix.
const cachedTokensHeader = "X-Cached-Tokens"

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	load, _ := e.runner.Ask(batcher.ReadLoad{}).(batcher.Load)
	responder.JSON(w, http.StatusOK, map[string]any{
		"running": load.Running, "waiting": load.Waiting,
		"waiting_tokens": load.WaitingTokens, "leaving": load.Leaving,
	})
}

func (e *Engine) residents(w http.ResponseWriter, _ *http.Request) {
	residents, _ := e.runner.Ask(batcher.ReadResidents{}).(batcher.Residents)
	programs := make([]map[string]any, 0, len(residents.Programs))
	for _, p := range residents.Programs {
		programs = append(programs, map[string]any{"program": p.Program, "tokens": p.Tokens})
	}
	responder.JSON(w, http.StatusOK, map[string]any{"sequence": residents.Sequence, "programs": programs})
}

func (e *Engine) events(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Has("after") {
		responder.Error(w, http.StatusBadRequest, "after must be a sequence number")
		return
	}
	reply, _ := e.runner.Ask(batcher.ReadEvents{After: ident.Sequence(after)}).(batcher.Events)
	events := make([]map[string]any, 0, len(reply.Events))
	for _, event := range reply.Events {
		events = append(events, map[string]any{
			"sequence": event.Sequence, "kind": event.Kind,
			"program": event.Program, "tokens": event.Tokens,
		})
	}
	responder.JSON(w, http.StatusOK, map[string]any{"events": events})
}

func (e *Engine) release(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Program ident.ProgramID `json:"program"`
		Epoch   ident.Epoch     `json:"epoch"`
	}
	if responder.DecodeBody(w, r, &body) {
		writeFenceable(w, e.runner.Ask(batcher.Release{Program: body.Program, Epoch: body.Epoch}))
	}
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Kind  batcher.OrderKind `json:"kind"`
		Name  string            `json:"name"`
		Epoch ident.Epoch       `json:"epoch"`
	}
	if !responder.DecodeBody(w, r, &body) {
		return
	}
	switch body.Kind {
	case batcher.LoadModel, batcher.LoadAdapter, batcher.SetRole:
		writeFenceable(w, e.runner.Ask(batcher.Order{Kind: body.Kind, Name: body.Name, Epoch: body.Epoch}))
	default:
		responder.Error(w, http.StatusBadRequest, "the kind of the order is unknown; use load_model, load_adapter or set_role")
	}
}

// writeFenceable responds to a command that fencing may have rejected.
func writeFenceable(w http.ResponseWriter, reply batcher.Reply) {
	switch reply := reply.(type) {
	case batcher.Done:
		responder.JSON(w, http.StatusOK, map[string]any{})
	case batcher.Fenced:
		responder.Error(w, http.StatusConflict, "the epoch is outdated; the highest epoch seen is "+strconv.FormatUint(uint64(reply.Seen), 10))
	default:
		panic(http.ErrAbortHandler)
	}
}

func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Program ident.ProgramID `json:"program"`
	}
	if !responder.DecodeBody(w, r, &body) {
		return
	}
	exported, _ := e.runner.Ask(batcher.Export{Program: body.Program}).(batcher.Exported)
	if exported.Tokens == nil {
		responder.Error(w, http.StatusNotFound, "the program has no cached prefix")
		return
	}
	blob := make([]byte, len(exported.Tokens)*int(e.kvBytes))
	for i, token := range exported.Tokens {
		binary.LittleEndian.PutUint32(blob[i*int(e.kvBytes):], uint32(token))
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(blob)))
	w.Header().Set(cachedTokensHeader, strconv.Itoa(len(exported.Tokens)))
	n, _ := w.Write(blob)
	e.exported.Add(int64(n))
}

func (e *Engine) importPrefix(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Program ident.ProgramID `json:"program"`
		Tokens  unit.Tokens     `json:"tokens"`
		Blob    []byte          `json:"blob"`
	}
	if !responder.DecodeBody(w, r, &body) {
		return
	}
	if body.Tokens < 1 || int64(body.Tokens)*int64(e.kvBytes) != int64(len(body.Blob)) {
		responder.Error(w, http.StatusBadRequest, "the size of the blob does not match the number of tokens")
		return
	}
	tokens := make([]prefixcache.Token, body.Tokens)
	for i := range tokens {
		tokens[i] = prefixcache.Token(binary.LittleEndian.Uint32(body.Blob[i*int(e.kvBytes):]))
	}
	writeFenceable(w, e.runner.Ask(batcher.Import{Program: body.Program, Tokens: tokens}))
}

func (e *Engine) stats(w http.ResponseWriter, _ *http.Request) {
	stats, _ := e.runner.Ask(batcher.ReadStats{}).(batcher.Stats)
	responder.JSON(w, http.StatusOK, map[string]any{
		"prefill_tokens": stats.PrefillTokens, "cached_tokens": stats.CachedTokens,
		"output_tokens": stats.OutputTokens, "evicted_tokens": stats.EvictedTokens,
		"exported_bytes": e.exported.Load(), "rejected_orders": stats.RejectedOrders,
		"streams": stats.Streams,
	})
}

func (e *Engine) orders(w http.ResponseWriter, _ *http.Request) {
	stats, _ := e.runner.Ask(batcher.ReadStats{}).(batcher.Stats)
	orders := make([]map[string]any, 0, len(stats.Orders))
	for _, order := range stats.Orders {
		orders = append(orders, map[string]any{"kind": order.Kind, "name": order.Name, "epoch": order.Epoch})
	}
	responder.JSON(w, http.StatusOK, map[string]any{"orders": orders})
}
