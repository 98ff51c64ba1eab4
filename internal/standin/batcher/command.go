package batcher

import (
	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/cacher"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// RequestID names a completion request. It is chosen by the client.
type RequestID string

// StreamID names one client's stream of a request.
type StreamID uint64

// Digest is the hash of a prompt. Every word of the answer contains it.
type Digest uint32

// Progress is the state of a request as its streams see it.
type Progress struct {
	Produced unit.Tokens
	Cached   unit.Tokens
	Finished bool
	// Cancelled means that no more tokens will follow.
	Cancelled bool
}

// Command is a command to the batcher. The interface is sealed.
type Command interface{ command() }

// Submit starts a request or attaches to one that is known. Answered by
// Accepted, QueueFull, RequestUnknown, RequestMismatch or Leaving.
type Submit struct {
	ID        RequestID
	Program   ident.ProgramID
	Prompt    []cacher.Token
	Digest    Digest
	MaxTokens unit.Tokens
	Priority  int
	// Resume is true if the client gave the number of tokens that it has.
	Resume     bool
	ResumeFrom unit.Tokens
	// Progress has a capacity of 1 and holds the newest progress only.
	Progress chan Progress
}

// Detach ends a stream. Answered by Done.
type Detach struct {
	ID     RequestID
	Stream StreamID
}

// Cancel ends a request if it is known. Answered by Done.
type Cancel struct{ ID RequestID }

// SetLeaving makes the engine refuse new requests. Answered by Done.
type SetLeaving struct{ Leaving bool }

// Release frees the memory of a program. Answered by Done or Fenced.
type Release struct {
	Program ident.ProgramID
	Epoch   ident.Epoch
}

// Export reads the prefix of a program. Answered by Exported.
type Export struct{ Program ident.ProgramID }

// Import stores the prefix of a program. Answered by Done.
type Import struct {
	Program ident.ProgramID
	Tokens  []cacher.Token
}

// OrderKind is the kind of an order.
type OrderKind string

// Kinds of orders.
const (
	LoadModel   OrderKind = "load_model"
	LoadAdapter OrderKind = "load_adapter"
	SetRole     OrderKind = "set_role"
)

// Order changes what the engine serves. Answered by Done or Fenced.
type Order struct {
	Kind  OrderKind
	Name  string
	Epoch ident.Epoch
}

// ReadLoad reads the load report. Answered by Load.
type ReadLoad struct{}

// ReadResidents reads the programs in the cache. Answered by Residents.
type ReadResidents struct{}

// ReadEvents reads the events of the cache. Answered by Events.
type ReadEvents struct{ After ident.Sequence }

// ReadStats reads the counters. Answered by Stats.
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
