package batcher

import (
	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/prefixcache"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// RequestID identifies a completion request. The client chooses it.
type RequestID string

// StreamID identifies one client's stream of a request.
type StreamID uint64

// Digest is the hash of a prompt. Every token of the answer contains it.
type Digest uint32

// Progress is the state of a request as reported to its streams.
type Progress struct {
	Produced unit.Tokens
	Cached   unit.Tokens
	Finished bool
	// Cancelled means that the request was cancelled before it finished.
	Cancelled bool
}

// Command is a command to the batcher. The interface is sealed.
type Command interface{ command() }

// Submit starts a request or attaches a stream to a known one. The reply is
// Accepted, QueueFull, RequestUnknown, RequestMismatch or Leaving.
type Submit struct {
	ID        RequestID
	Program   ident.ProgramID
	Prompt    []prefixcache.Token
	Digest    Digest
	MaxTokens unit.Tokens
	Priority  int
	// Resume is true if the client sent ResumeFrom, the number of tokens that it
	// has received.
	Resume     bool
	ResumeFrom unit.Tokens
	// Progress must have a capacity of 1. It holds only the latest progress.
	Progress chan Progress
}

// Detach ends a stream. The reply is Done.
type Detach struct {
	ID     RequestID
	Stream StreamID
}

// Cancel cancels a request if it is known. The reply is Done.
type Cancel struct{ ID RequestID }

// SetLeaving sets whether the engine refuses new requests. The reply is Done.
type SetLeaving struct{ Leaving bool }

// Release frees the cached prefix of a program. The reply is Done or Fenced.
type Release struct {
	Program ident.ProgramID
	Epoch   ident.Epoch
}

// Export reads the cached prefix of a program. The reply is Exported.
type Export struct{ Program ident.ProgramID }

// Import caches a prefix for a program. The reply is Done.
type Import struct {
	Program ident.ProgramID
	Tokens  []prefixcache.Token
}

// OrderKind is the type of an order.
type OrderKind string

// Kinds of orders.
const (
	LoadModel   OrderKind = "load_model"
	LoadAdapter OrderKind = "load_adapter"
	SetRole     OrderKind = "set_role"
)

// Order changes what the engine serves. The reply is Done or Fenced.
type Order struct {
	Kind  OrderKind
	Name  string
	Epoch ident.Epoch
}

// ReadLoad reads the load report. The reply is Load.
type ReadLoad struct{}

// ReadResidents reads the programs in the cache. The reply is Residents.
type ReadResidents struct{}

// ReadEvents reads the cache events after a sequence number. The reply is
// Events.
type ReadEvents struct{ After ident.Sequence }

// ReadStats reads the counters. The reply is Stats.
type ReadStats struct{}

func (Submit) command()        {}
func (Detach) command()        {}
func (Cancel) command()        {}
func (SetLeaving) command()    {}
func (Release) command()       {}
func (Export) command()        {}
func (Import) command()        {}
func (Order) command()         {}
func (ReadLoad) command()      {}
func (ReadResidents) command() {}
func (ReadEvents) command()    {}
func (ReadStats) command()     {}
