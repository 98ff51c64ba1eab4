package peerlink

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/sassafrasspur/sassafrasspur/internal/memorylimiter"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// Guards against messages of peers that are no longer read, and against messages and
// header lines that are read without a bound.
func TestBoundedCodec(t *testing.T) {
	g := NewWithT(t)
	m := memorylimiter.New(100<<10, 0, 1<<10, timer.New(), func() float64 { return 0 })
	codec := &boundedCodec{max: 80 << 10, claim: m.NewClaim(func() {})}
	read := func(text string) (string, error) {
		var decoded string
		err := codec.ReadObject(bufio.NewReader(strings.NewReader(text)), &decoded)
		g.Expect(m.Used()).To(BeZero(), "the memory of a message is returned")
		return decoded, err
	}
	var written bytes.Buffer
	g.Expect(jsonrpc2.VSCodeObjectCodec{}.WriteObject(&written, "hello")).To(Succeed())
	g.Expect(read(written.String())).To(Equal("hello"))
	g.Expect(read("Content-Type: a\r\nContent-Length: 4\r\n\r\n\"ab\"")).To(Equal("ab"))

	_, err := read("Content-Length: 90000\r\n\r\n\"")
	g.Expect(err).To(MatchError(ContainSubstring("message of 90000 bytes")))
	_, err = read("Content-Length: 70000\r\n\r\n\"" + strings.Repeat("a", 69998) + "\"")
	g.Expect(err).To(MatchError(ContainSubstring("memory of this VM")), "two copies exceed the budget")
	_, err = read("Content-Length: 4" + strings.Repeat("0", 1<<20))
	g.Expect(err).To(MatchError(bufio.ErrBufferFull))
	_, err = read(strings.Repeat("A: b\r\n", 100))
	g.Expect(err).To(MatchError(ContainSubstring("header lines")))
}

// Guards against header lines of a peer that are read without a bound, or that end in a
// panic.
func FuzzReadHeader(f *testing.F) {
	f.Add("Content-Length: 4\r\n\r\n1234")
	f.Add("Content-Length: -4\r\n\r\n")
	f.Add("A: b\nContent-Length: 99999999999999999999\r\n\r\n")
	f.Add(strings.Repeat("\r\n", 20))
	f.Fuzz(func(t *testing.T, text string) {
		source := strings.NewReader(text)
		size, err := (&boundedCodec{max: 100}).readHeader(bufio.NewReaderSize(source, 64))
		if consumed := len(text) - source.Len(); consumed > (maxHeaderLines+1)*64 {
			t.Fatalf("%d bytes read", consumed)
		}
		if err == nil && (size <= 0 || size > 100) {
			t.Fatalf("message of %d bytes accepted", size)
		}
	})
}

// Guards against requests of one connection that are started without a bound.
func TestBoundedHandler(t *testing.T) {
	g := NewWithT(t)
	entered, release := make(chan struct{}, 3), make(chan struct{})
	h := &boundedHandler{pending: make(chan struct{}, 2), Handler: jsonrpc2.HandlerWithError(blockingHandler(entered, release))}
	stream := jsonrpc2.NewBufferedStream(discardConn{}, jsonrpc2.VSCodeObjectCodec{})
	conn := jsonrpc2.NewConn(t.Context(), stream, h)
	third := make(chan struct{})
	go func() {
		for range 3 {
			h.Handle(t.Context(), conn, &jsonrpc2.Request{Notif: true})
		}
		close(third)
	}()
	<-entered
	<-entered
	g.Consistently(third, 50*time.Millisecond).ShouldNot(BeClosed())
	close(release)
	g.Eventually(third).Should(BeClosed())
}

// Guards against requests that are handled beyond the budget, and against memory that stays
// claimed after them.
func TestRequestMemory(t *testing.T) {
	g := NewWithT(t)
	m := memorylimiter.New(120<<10, 0, 1<<10, timer.New(), func() float64 { return 0 })
	entered, release := make(chan struct{}, 2), make(chan struct{})
	h := &boundedHandler{pending: make(chan struct{}, 2), memory: m, Handler: jsonrpc2.HandlerWithError(blockingHandler(entered, release))}
	stream := jsonrpc2.NewBufferedStream(discardConn{}, jsonrpc2.VSCodeObjectCodec{})
	conn := jsonrpc2.NewConn(t.Context(), stream, h)
	params := json.RawMessage(strings.Repeat("1", 40<<10))
	h.Handle(t.Context(), conn, &jsonrpc2.Request{Notif: true, Params: &params})
	<-entered
	g.Expect(m.Used()).To(BeNumerically(">=", 80<<10))
	h.Handle(t.Context(), conn, &jsonrpc2.Request{Notif: true, Params: &params})
	g.Eventually(conn.DisconnectNotify()).Should(BeClosed())
	close(release)
	g.Eventually(m.Used).Should(BeZero())
	g.Expect(entered).To(BeEmpty())
}

func blockingHandler(entered chan<- struct{}, release <-chan struct{}) func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
		entered <- struct{}{}
		<-release
		return nil, nil
	}
}

// discardConn is a connection whose peer has left.
type discardConn struct{}

func (discardConn) Read([]byte) (int, error)    { return 0, io.EOF }
func (discardConn) Write(p []byte) (int, error) { return len(p), nil }
func (discardConn) Close() error                { return nil }
