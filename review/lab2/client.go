package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var lastAttempt atomic.Int64

// attemptID returns a new id of a client attempt.
func attemptID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastAttempt.Add(1)) }

// channel is a client's connection to an entry VM.
type channel struct {
	net.Conn
	reader *bufio.Reader
	// answered counts the complete answers on it.
	answered int
}

func dial(address string) (*channel, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// message is a request of a client.
type message struct {
	id      string
	method  string
	path    string
	headers []string
	body    []byte
	// limit is the time for which the client waits.
	limit time.Duration
}

// head returns the encoded head of a request with a body of n bytes.
func (m message) head(n int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", m.method, m.path, host, m.id, m.limit.Milliseconds())
	for _, h := range m.headers {
		fmt.Fprintf(&b, "%s\r\n", h)
	}
	if m.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", n)
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// reply is what a client received. err is set unless the answer is complete.
type reply struct {
	status int
	body   []byte
	// closes is set if the channel ends with the answer.
	closes bool
	err    error
}

func (r reply) String() string {
	if r.err != nil {
		return fmt.Sprintf("status %d, %d bytes, then %v", r.status, len(r.body), r.err)
	}
	return fmt.Sprintf("status %d, %d bytes, complete", r.status, len(r.body))
}

// send sends a request and reads its answer.
func (c *channel) send(m message) reply {
	if err := c.SetDeadline(time.Now().Add(m.limit + time.Second)); err != nil {
		return reply{err: err}
	}
	if _, err := c.Write(append(m.head(len(m.body)), m.body...)); err != nil {
		return reply{err: err}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: m.method})
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err == nil {
		c.answered++
	}
	return reply{status: response.StatusCode, body: body, closes: response.Close, err: err}
}

func header(name string, value any) string { return fmt.Sprintf("%s: %v", name, value) }
