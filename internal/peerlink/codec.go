package peerlink

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"strconv"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/sassafrasspur/sassafrasspur/internal/evictor"
	"github.com/sassafrasspur/sassafrasspur/internal/memorylimiter"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const (
	// maxRequestBytes bounds a request of a peer. The longest are transactions of the
	// store, which have up to 1 MB of rows in Base64.
	maxRequestBytes = 4 << 20
	// maxResponseBytes bounds the response of a peer, of which the longest are pages of
	// the store's rows.
	maxResponseBytes = 16 << 20
	// maxHeaderLines bounds the header lines of a message. Peers send one.
	maxHeaderLines = 8
	// maxPendingRequests is the number of requests of one connection that are handled at
	// once. Further ones wait unread.
	maxPendingRequests = 64
	// requestBytes is the memory of a pending request beside its message: the stack of its
	// goroutine and its call of the store.
	requestBytes unit.Bytes = 16 << 10
	// messageCopies is the number of copies of a message: as received, and decoded.
	messageCopies = 2
)

var lengthHeader = []byte("Content-Length: ")

// boundedCodec reads messages of a bounded size. It writes as jsonrpc2.VSCodeObjectCodec.
type boundedCodec struct {
	jsonrpc2.VSCodeObjectCodec
	max int64
	// claim has the memory of the message that is read, nil if it is not bounded.
	claim *memorylimiter.Claim
}

// ReadObject reads a message.
func (c *boundedCodec) ReadObject(stream *bufio.Reader, v any) error {
	size, err := c.readHeader(stream)
	if err != nil {
		return err
	}
	message := io.LimitReader(stream, size)
	if c.claim != nil {
		defer c.claim.Release()
		message = &claimedReader{Reader: message, claim: c.claim}
	}
	return json.NewDecoder(message).Decode(v)
}

// readHeader returns the length of the next message. The reader's buffer bounds a line.
func (c *boundedCodec) readHeader(stream *bufio.Reader) (int64, error) {
	var size int64
	for range maxHeaderLines {
		line, err := stream.ReadSlice('\n')
		if err != nil {
			// The library compares the end of a connection with io.EOF.
			return 0, err
		}
		line = bytes.TrimSuffix(line, []byte("\r\n"))
		if text, ok := bytes.CutPrefix(line, lengthHeader); ok {
			if size, err = strconv.ParseInt(string(bytes.TrimSpace(text)), 10, 64); err != nil {
				return 0, errors.Annotate(err, "length of a message")
			}
			continue
		}
		if len(line) > 0 {
			continue
		}
		if size <= 0 || size > c.max {
			return 0, errors.Errorf("message of %d bytes; at most %d are read", size, c.max)
		}
		return size, nil
	}
	return 0, errors.Errorf("message with more than %d header lines", maxHeaderLines)
}

// claimedReader claims what it reads.
type claimedReader struct {
	io.Reader
	claim *memorylimiter.Claim
}

// Read reads a part of a message and claims its memory.
func (r *claimedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		if refusal := r.claim.Grow(messageCopies * unit.Bytes(n)); refusal != nil {
			return 0, refusal
		}
	}
	return n, err
}

// boundedHandler handles a limited number of requests of a connection at once.
type boundedHandler struct {
	jsonrpc2.Handler
	pending chan struct{}
	// memory is nil if the memory of requests is not bounded.
	memory *memorylimiter.Memorylimiter
}

// Handle handles a request in a goroutine of its own, as jsonrpc2.AsyncHandler. The
// connection is not read while too many requests are pending. It is closed if there is no
// memory for the request, whose outcome is then unknown to the peer.
func (h *boundedHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	release, err := h.claim(r)
	if err != nil {
		// The error of a connection that is closed twice concerns nobody.
		_ = conn.Close()
		return
	}
	h.pending <- struct{}{}
	go func() {
		defer func() {
			release()
			<-h.pending
		}()
		h.Handler.Handle(ctx, conn, r)
	}()
}

// claim claims the memory of a request until it was handled. A request that is handled is
// not dropped.
func (h *boundedHandler) claim(r *jsonrpc2.Request) (release func(), err error) {
	if h.memory == nil {
		return func() {}, nil
	}
	needed := requestBytes
	if r.Params != nil {
		needed += messageCopies * unit.Bytes(len(*r.Params))
	}
	claim := h.memory.NewClaim(func() {})
	if err := claim.Grow(needed); err != nil {
		claim.Release()
		return nil, err
	}
	if err := claim.Enter(evictor.Running{}); err != nil {
		claim.Release()
		return nil, err
	}
	return claim.Release, nil
}

// serveConnection serves the requests on a connection of a peer.
func (p *Peerlink) serveConnection(ctx context.Context, netConn net.Conn, handler jsonrpc2.Handler) {
	codec := &boundedCodec{max: maxRequestBytes}
	if p.memory != nil {
		// The error of a connection that is closed twice concerns nobody.
		codec.claim = p.memory.NewClaim(func() { _ = netConn.Close() })
	}
	// The library keeps a goroutine for each connection until its context ends.
	connCtx, cancel := context.WithCancel(ctx)
	conn := jsonrpc2.NewConn(connCtx, jsonrpc2.NewBufferedStream(netConn, codec),
		&boundedHandler{Handler: handler, pending: make(chan struct{}, maxPendingRequests), memory: p.memory}, jsonrpc2.SetLogger(p))
	go func() {
		<-conn.DisconnectNotify()
		cancel()
	}()
}
