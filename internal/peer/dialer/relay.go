package dialer

import (
	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/chain"
	"github.com/sassafrasspur/sassafrasspur/internal/peer/protocol"
)

// relay passes the stream of one answer to its sink and checks that every part
// belongs to it.
type relay struct {
	sink   chain.Sink
	call   ident.CallID
	isCall bool
	// next is the index of the next chunk, and thus the number of valid ones.
	next int
}

// sinkError is an error of the sink, as opposed to one of the connection.
type sinkError struct{ err error }

// Error returns the sink's error.
func (e *sinkError) Error() string { return e.err.Error() }

// take handles a notification that precedes the response.
func (r *relay) take(n *jsonrpc2.Request) error {
	switch n.Method {
	case protocol.NotifyChunk:
		var chunk protocol.Chunk
		if err := protocol.Unmarshal(n.Params, &chunk); err != nil {
			return errors.Trace(err)
		}
		if !r.isCall || chunk.Call != r.call || chunk.Index != r.next {
			return errors.NotValidf("chunk %d of call %q, instead of %d of %q,", chunk.Index, chunk.Call, r.next, r.call)
		}
		r.next++
		return wrapSink(r.sink.Chunk(chunk.Index, chunk.Text))
	case protocol.NotifyVoid, protocol.NotifyAlive:
		var reference protocol.Reference
		if err := protocol.Unmarshal(n.Params, &reference); err != nil {
			return errors.Trace(err)
		}
		if reference.Call != r.call {
			return errors.NotValidf("%s of call %q, instead of %q,", n.Method, reference.Call, r.call)
		}
		if n.Method == protocol.NotifyAlive {
			return nil
		}
		if !r.isCall {
			return errors.NotValidf("%s of a request without chunks", n.Method)
		}
		r.next = 0
		return wrapSink(r.sink.Void())
	default:
		return errors.NotValidf("notification %q", n.Method)
	}
}

// check returns the end marker if it belongs to the stream.
func (r *relay) check(result protocol.Result) (chain.End, error) {
	end, ok := result.EndMarker()
	if !ok {
		return chain.End{}, errors.NotValidf("response without an end marker")
	}
	if end.Call != r.call || end.Attempt < 1 || end.Chunks != r.next {
		return chain.End{}, errors.NotValidf("end of call %q, attempt %d, with %d chunks, instead of %q with %d,",
			end.Call, end.Attempt, end.Chunks, r.call, r.next)
	}
	return end, nil
}

func wrapSink(err error) error {
	if err == nil {
		return nil
	}
	return &sinkError{err: err}
}
