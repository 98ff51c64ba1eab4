package protocol

import (
	"encoding/json"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/chain"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/request"
)

// Methods of a connection.
const (
	MethodHello  = "peer.hello"
	MethodProof  = "peer.proof"
	MethodPing   = "peer.ping"
	MethodGossip = "peer.gossip"

	methodOpen      = "program.open"
	methodOpenChild = "program.open_child"
	methodEnd       = "program.end"
	methodShow      = "program.show"
	methodCall      = "call.run"
	methodResolve   = "call.resolve"
)

// Notifications that precede the response to a request.
const (
	NotifyChunk = "call.chunk"
	NotifyVoid  = "call.void"
	// NotifyAlive says that the server still works on the request.
	NotifyAlive = "call.alive"
)

// Chunk is the body of NotifyChunk.
type Chunk struct {
	Call  ident.CallID `json:"call"`
	Index int          `json:"index"`
	Text  string       `json:"text"`
}

// Reference is the body of NotifyVoid and NotifyAlive. Call is empty for
// requests that are not calls.
type Reference struct {
	Call ident.CallID `json:"call"`
}

type account struct {
	ID   ident.AccountID `json:"id"`
	Team ident.TeamID    `json:"team"`
	Role chain.Role      `json:"role"`
}

// Forwarded is the body of the methods that carry a request of a caller.
type Forwarded struct {
	Account account         `json:"account"`
	Request json.RawMessage `json:"request"`
}

// The following types differ from those of package request in their tags only.
type (
	openBody struct {
		Program ident.ProgramID `json:"program"`
		Class   ident.Class     `json:"class"`
		Budget  record.Budget   `json:"budget"`
	}
	openChildBody struct {
		Parent ident.ProgramID `json:"parent"`
		Child  ident.ProgramID `json:"child"`
	}
	callBody struct {
		Program        ident.ProgramID `json:"program"`
		First          bool            `json:"first"`
		record.Request `json:"call"`
	}
	programBody struct {
		Program ident.ProgramID `json:"program"`
	}
	resolveBody struct {
		Program ident.ProgramID `json:"program"`
		Call    ident.CallID    `json:"call"`
		Ran     bool            `json:"ran"`
		Answer  string          `json:"answer"`
		Plan    ident.PlanID    `json:"plan"`
	}
)

// CallOf returns the id of a call, and "" for requests that are not calls.
func CallOf(r request.Request) ident.CallID {
	if call, ok := r.(request.Call); ok {
		return call.Call
	}
	return ""
}

// Encode returns the method and the body by which an exchange is forwarded.
func Encode(x *chain.Exchange) (string, Forwarded, error) {
	method, body, err := encodeRequest(x.Request)
	if err != nil {
		return "", Forwarded{}, errors.Trace(err)
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return "", Forwarded{}, errors.Trace(err)
	}
	return method, Forwarded{Account: account(x.Account), Request: raw}, nil
}

func encodeRequest(r request.Request) (string, any, error) {
	switch r := r.(type) {
	case request.Open:
		return methodOpen, openBody(r), nil
	case request.OpenChild:
		return methodOpenChild, openChildBody(r), nil
	case request.Call:
		return methodCall, callBody(r), nil
	case request.End:
		return methodEnd, programBody(r), nil
	case request.Show:
		return methodShow, programBody(r), nil
	case request.Resolve:
		return methodResolve, resolveBody(r), nil
	default:
		return "", nil, errors.NotValidf("request of type %T", r)
	}
}

// Carries reports whether a method carries a request of a caller.
func Carries(method string) bool {
	switch method {
	case methodOpen, methodOpenChild, methodCall, methodEnd, methodShow, methodResolve:
		return true
	default:
		return false
	}
}

// Decode returns the exchange that was forwarded, without its sink.
func Decode(method string, params *json.RawMessage) (*chain.Exchange, error) {
	var f Forwarded
	if err := Unmarshal(params, &f); err != nil {
		return nil, errors.Trace(err)
	}
	r, err := decodeRequest(method, f.Request)
	if err != nil {
		return nil, errors.Annotate(err, method)
	}
	if r.Subject() == "" {
		return nil, errors.NotValidf("%s without a program", method)
	}
	return &chain.Exchange{Forwarded: true, Account: chain.Account(f.Account), Request: r}, nil
}

func decodeRequest(method string, raw json.RawMessage) (request.Request, error) {
	switch method {
	case methodOpen:
		body, err := decode[openBody](raw)
		return request.Open(body), err
	case methodOpenChild:
		body, err := decode[openChildBody](raw)
		return request.OpenChild(body), err
	case methodCall:
		body, err := decode[callBody](raw)
		return request.Call(body), err
	case methodEnd:
		body, err := decode[programBody](raw)
		return request.End(body), err
	case methodShow:
		body, err := decode[programBody](raw)
		return request.Show(body), err
	case methodResolve:
		body, err := decode[resolveBody](raw)
		return request.Resolve(body), err
	default:
		return nil, errors.NotValidf("method %q", method)
	}
}

func decode[T any](raw json.RawMessage) (T, error) {
	var v T
	err := Unmarshal(&raw, &v)
	return v, errors.Trace(err)
}
