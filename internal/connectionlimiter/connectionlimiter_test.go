package connectionlimiter_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/internal/connectionlimiter"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/memorylimiter"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const (
	total    unit.Bytes = 400 << 10
	reserved unit.Bytes = 100 << 10
	small    unit.Bytes = 64 << 10
	// answerBytes is the size of an answer that leaves no room for another large request.
	answerBytes = 250 << 10
	// pace is short, so that slow callers are refused within the test. No test depends on
	// a caller that is fast enough.
	pace = 50 * time.Millisecond
)

// limitedServer is a server that echoes the size of a body.
type limitedServer struct {
	memory  *memorylimiter.Memorylimiter
	address string
	// released is closed to let requests to /wait end, of which waiting are in progress.
	released chan struct{}
	waiting  atomic.Int32

	mu      sync.Mutex
	reasons []connectionlimiter.Reason
}

func newLimitedServer(t testing.TB, listener net.Listener, maxConnections int, options ...connectionlimiter.Option) *limitedServer {
	return newTimedServer(t, listener, timer.New(), maxConnections, options...)
}

func newTimedServer(t testing.TB, listener net.Listener, timers *timer.Service, maxConnections int, options ...connectionlimiter.Option) *limitedServer {
	s := &limitedServer{released: make(chan struct{}), address: listener.Addr().String()}
	s.memory = memorylimiter.New(total, reserved, small, timers, func() float64 { return 0.5 })
	options = append(options, connectionlimiter.WithOnRefusal(func(r connectionlimiter.Reason) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.reasons = append(s.reasons, r)
	}))
	limiter := connectionlimiter.New(s.memory, timers, maxConnections, options...)
	server := &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: 10 * time.Second}
	limiter.Attach(server)
	go func() { _ = server.Serve(limiter.Listen(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *limitedServer) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var refusal *failure.Error
	switch {
	case errors.As(err, &refusal):
		w.WriteHeader(http.StatusServiceUnavailable)
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
	case r.URL.Path == "/wait":
		s.waiting.Add(1)
		select {
		case <-s.released:
		case <-r.Context().Done():
			w.WriteHeader(http.StatusInternalServerError)
		}
	case r.URL.Path == "/answer":
		_, _ = w.Write(make([]byte, answerBytes))
	case r.URL.Path == "/large":
		_, _ = w.Write(make([]byte, 64<<20))
	default:
		_, _ = fmt.Fprintf(w, "%d", len(body))
	}
}

func (s *limitedServer) refusals() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprint(s.reasons)
}

func listen(t testing.TB) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

func dial(t testing.TB, address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// compose returns the request of a golden input line, without the part that is not sent.
func compose(f goldentest.Fields) string {
	number := func(key string) int {
		n, _ := strconv.Atoi(f[key])
		return n
	}
	text := "POST /echo HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", number("lines")) +
		"B: " + strings.Repeat("b", number("text")) + "\r\n"
	if f.Has("chunks") {
		return text + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("400\r\n"+strings.Repeat("c", 1024)+"\r\n", number("chunks")) + "0\r\n\r\n"
	}
	body := strings.Repeat("b", number("body"))
	return text + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body[:len(body)-number("missing")]
}

// Guards against requests over a limit that are served or not answered, against requests
// inside the limits that are refused, and against memory that stays claimed.
func TestRequests(t *testing.T) {
	g := NewWithT(t)
	g.Expect(goldentest.Check("testdata/*.txtar", func(line string) string {
		f := goldentest.Parse(line)
		options := []connectionlimiter.Option{}
		if f.Has("missing") {
			options = append(options, connectionlimiter.WithBodyPace(pace))
		}
		s := newLimitedServer(t, listen(t), 8, options...)
		conn := dial(t, s.address)
		go func() { _, _ = io.WriteString(conn, compose(f)) }()
		reader := bufio.NewReader(conn)
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return "closed " + s.refusals()
		}
		defer func() { _ = response.Body.Close() }()
		_, _ = io.Copy(io.Discard, response.Body)
		g.Eventually(s.memory.Used).Should(BeZero())
		if response.Close {
			// net/http may read again after a refusal, and must not answer again.
			rest, _ := io.ReadAll(reader)
			g.Expect(string(rest)).To(BeEmpty())
		}
		return fmt.Sprintf("%d close=%t retry=%q %s", response.StatusCode, response.Close, response.Header.Get("Retry-After"), s.refusals())
	})).To(Succeed())
}

// Guards against a header section that is not claimed because it arrived together with
// the request before.
func TestPipelinedHead(t *testing.T) {
	g := NewWithT(t)
	s := newLimitedServer(t, listen(t), 8)
	defer close(s.released)
	conn := dial(t, s.address)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\nGET /wait HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("a:\r\n", 500)+"\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(s.memory.Used).Should(BeNumerically(">", 500*256))
}

// Guards against connections that keep new ones out although they carry no request, and
// against closing one that does.
func TestConnections(t *testing.T) {
	g := NewWithT(t)
	s := newLimitedServer(t, listen(t), 2)
	// get returns once the server waits for the next request.
	get := func(conn net.Conn) int {
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return 0
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if s.waiting.Load() == 0 {
			g.Eventually(s.memory.Used).Should(BeZero())
		}
		return response.StatusCode
	}
	// A connection that gives way is closed. If a request arrives on it at the same
	// moment, that is refused.
	giveWay := Or(BeZero(), Equal(http.StatusServiceUnavailable))
	idle, silent := dial(t, s.address), dial(t, s.address)
	g.Expect(get(idle)).To(Equal(200))
	first := dial(t, s.address)
	g.Expect(get(first)).To(Equal(200))
	g.Expect(get(silent)).To(giveWay, "the silent connection gives way first")
	g.Expect(get(idle)).To(Equal(200))
	second := dial(t, s.address)
	g.Expect(get(second)).To(Equal(200))
	g.Expect(get(first)).To(giveWay, "the connection that was idle for longest gives way")

	for _, conn := range []net.Conn{idle, second} {
		_, err := io.WriteString(conn, "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Eventually(s.waiting.Load).Should(BeEquivalentTo(2))
	g.Expect(get(dial(t, s.address))).To(BeZero(), "requests in progress keep their connections")
	close(s.released)
	for _, conn := range []net.Conn{idle, second} {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.StatusCode).To(Equal(200))
		_ = response.Body.Close()
	}
}

// Guards against a request that runs although its connection was closed in favour of
// another one while its header section arrived, and against a refusal that is not written.
func TestCutBeforeHandler(t *testing.T) {
	g := NewWithT(t)
	timers := timer.New()
	memory := memorylimiter.New(total, reserved, small, timers, func() float64 { return 0 })
	listener := &pipeListener{conns: make(chan net.Conn, 2), closed: make(chan struct{})}
	caller, served := net.Pipe()
	_, other := net.Pipe()
	listener.conns <- served
	listener.conns <- other
	limiter := connectionlimiter.New(memory, timers, 1)
	hasRun := false
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { hasRun = true })}
	limiter.Attach(server)
	limited := limiter.Listen(listener)
	conn, err := limited.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	go func() {
		_, _ = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		_, _ = io.Copy(io.Discard, caller)
	}()
	_, err = conn.Read(make([]byte, 4<<10))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = limited.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	server.ConnState(conn, http.StateActive)
	response := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodGet, "/", nil)
	server.Handler.ServeHTTP(response, request.WithContext(server.ConnContext(request.Context(), conn)))
	g.Expect(hasRun).To(BeFalse())
	g.Expect(response.Code).To(Equal(http.StatusServiceUnavailable))
	_, err = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against an answer that exceeds the budget.
func TestLargeAnswer(t *testing.T) {
	g := NewWithT(t)
	s := newLimitedServer(t, listen(t), 2)
	conn := dial(t, s.address)
	_, err := io.WriteString(conn, "GET /large HTTP/1.1\r\nHost: a\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(s.refusals).Should(Equal("[memory_used_up]"))
	g.Eventually(s.memory.Used).Should(BeZero())
}

// Guards against answers that are held for callers that do not read them: beyond the pace,
// and while others need the memory.
func TestUnreadAnswer(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		pace   time.Duration
		reason string
	}{{pace, "[answer_not_read]"}, {0, "[memory_used_up]"}} {
		listener := &pipeListener{conns: make(chan net.Conn, 2), closed: make(chan struct{})}
		s := newLimitedServer(t, listener, 2, connectionlimiter.WithWritePace(c.pace))
		reader, served := net.Pipe()
		listener.conns <- served
		_, err := io.WriteString(reader, "GET /answer HTTP/1.1\r\nHost: a\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		// The server writes its first buffer by itself.
		_, err = io.ReadFull(reader, make([]byte, 4<<10))
		g.Expect(err).NotTo(HaveOccurred())
		if c.pace == 0 {
			g.Eventually(s.memory.Used).Should(BeNumerically(">=", answerBytes/2))
		}
		if c.pace == 0 {
			// An answer is dropped for others once it was not read for a second.
			time.Sleep(1100 * time.Millisecond)
			sender, served := net.Pipe()
			listener.conns <- served
			go func() { _, _ = io.WriteString(sender, compose(goldentest.Fields{"body": "100000"})) }()
			response, err := http.ReadResponse(bufio.NewReader(sender), nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.StatusCode).To(Equal(http.StatusOK))
			_ = response.Body.Close()
			_ = sender.Close()
		}
		g.Eventually(s.refusals).Should(Equal(c.reason))
		g.Eventually(s.memory.Used).Should(BeZero())
		_ = reader.Close()
	}
}

// Guards against a refusal that is forgotten: net/http reads again after an error, when it
// looks for a folded line.
func TestRefusalLasts(t *testing.T) {
	g := NewWithT(t)
	timers := timer.New()
	memory := memorylimiter.New(total, reserved, small, timers, func() float64 { return 0 })
	listener := &pipeListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
	caller, served := net.Pipe()
	listener.conns <- served
	conn, err := connectionlimiter.New(memory, timers, 1).Listen(listener).Accept()
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _, _ = io.WriteString(caller, "GET / HTTP/1.1\r\nA: "+strings.Repeat("a", 30<<10)) }()
	answer := make(chan string)
	go func() {
		text, _ := io.ReadAll(caller)
		answer <- string(text)
	}()
	buffer := make([]byte, 4<<10)
	for err == nil {
		_, err = conn.Read(buffer)
	}
	_, err = conn.Read(buffer)
	g.Expect(err).To(HaveOccurred())
	g.Expect(conn.Close()).To(Succeed())
	text := <-answer
	g.Expect(text).To(HavePrefix("HTTP/1.1 431"))
	g.Expect(strings.Count(text, "HTTP/1.1")).To(Equal(1))
	g.Expect(memory.Used()).To(BeZero())
}
