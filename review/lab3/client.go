package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// attempt is one attempt of a client.
type attempt struct {
	id, method, path string
	header           map[string]string
	body             string
	limit            time.Duration
}

// reply is what a client gets.
type reply struct {
	status int
	header http.Header
	body   string
	// err is the end of the channel before a complete answer.
	err error
}

func (r reply) String() string {
	if r.err != nil {
		return fmt.Sprintf("%d, then %v", r.status, r.err)
	}
	return fmt.Sprint(r.status)
}

// channel is a channel of a client that is kept for several requests.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
}

// dial opens a channel to a machine, over the machine's link.
func dial(v *vm) (*channel, error) {
	conn, err := net.DialTimeout("tcp", v.requests, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{linkConn{conn, &v.clients}, bufio.NewReader(conn)}, nil
}

// host is the host of all routes.
const host = "ficu95.example"

// send sends a request and reads the answer to its end.
func (c *channel) send(a attempt) reply {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", a.method, a.path, host, a.id, a.limit.Milliseconds())
	for name, value := range a.header {
		_, _ = fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if a.method != http.MethodGet {
		_, _ = fmt.Fprintf(&b, "Content-Length: %d\r\n", len(a.body))
	}
	b.WriteString("\r\n" + a.body)
	_ = c.conn.SetDeadline(time.Now().Add(a.limit + time.Second))
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		return reply{err: err}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: a.method})
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// once sends a request on a new channel.
func (l *lab) once(v *vm, a attempt) reply {
	c, err := dial(v)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = c.conn.Close() }()
	return l.on(c, v, a)
}

// on sends a request on a channel.
func (l *lab) on(c *channel, v *vm, a attempt) reply {
	l.record("send", "%s %s %s id=%s body=%d bytes", v.name, a.method, a.path, a.id, len(a.body))
	r := c.send(a)
	l.record("answer", "%s id=%s: %s %s", v.name, a.id, r, firstLine(r))
	if r.err == nil {
		l.count(fmt.Sprint(r.status))
	} else {
		l.count("broken")
	}
	return r
}

// firstLine returns the text of a refusal.
func firstLine(r reply) string {
	if r.status == http.StatusOK {
		return ""
	}
	line, _, _ := strings.Cut(r.body, "\n")
	return line
}

// errCannotRun is the error of a case that could not run.
var errCannotRun = errors.New("the case could not run")
