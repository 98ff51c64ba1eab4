package protocol

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	// strangerLimit bounds messages before the proof, so that a process
	// without the key can't make this one allocate memory.
	strangerLimit = 4 << 10
	// peerLimit is above the size of a history of 390,000 tokens.
	peerLimit = 32 << 20
)

// Stream is a TCP connection as a stream of JSON-RPC objects.
type Stream struct {
	jsonrpc2.ObjectStream
	limit *atomic.Int64
	conn  *watchedConn
}

// NewStream returns the stream of conn. A write that takes longer than
// writeLimit fails; now is the clock of LastRead.
func NewStream(conn net.Conn, writeLimit time.Duration, now func() time.Time) *Stream {
	watched := &watchedConn{Conn: conn, writeLimit: writeLimit, now: now, opened: now()}
	limit := &atomic.Int64{}
	limit.Store(strangerLimit)
	return &Stream{
		ObjectStream: jsonrpc2.NewBufferedStream(watched, codec{limit: limit}),
		limit:        limit,
		conn:         watched,
	}
}

// Admit raises the limit on the size of messages after a valid proof.
func (s *Stream) Admit() { s.limit.Store(peerLimit) }

// LastRead returns when bytes last came in.
func (s *Stream) LastRead() time.Time {
	return s.conn.opened.Add(time.Duration(s.conn.read.Load()))
}

// Written returns the number of bytes that were handed to the connection.
func (s *Stream) Written() int64 { return s.conn.written.Load() }

// watchedConn notes traffic and bounds writes.
type watchedConn struct {
	net.Conn
	writeLimit time.Duration
	now        func() time.Time
	opened     time.Time
	// read is the time of the last read since opened, so that it is monotonic.
	read    atomic.Int64
	written atomic.Int64
}

func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.read.Store(int64(c.now().Sub(c.opened)))
	}
	return n, err
}

func (c *watchedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeLimit)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// codec is jsonrpc2.VarintObjectCodec with a limit on the size of objects.
type codec struct {
	jsonrpc2.VarintObjectCodec
	limit *atomic.Int64
}

// ReadObject reads one object. io.EOF is passed as it is, because jsonrpc2
// takes it for the orderly end of the connection.
func (c codec) ReadObject(stream *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if size > uint64(c.limit.Load()) {
		return errors.NotValidf("message of %d bytes", size)
	}
	// The buffer grows with the bytes that came, not with the stated size.
	var b bytes.Buffer
	if _, err := io.CopyN(&b, stream, int64(size)); err != nil {
		return err
	}
	return errors.Trace(json.Unmarshal(b.Bytes(), v))
}
