package connectionlimiter_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/internal/connectionlimiter"
	"github.com/sassafrasspur/sassafrasspur/internal/evictor"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// Guards against header sections of earlier requests that count towards the limit, and
// against a later one that is not limited.
func TestReuse(t *testing.T) {
	g := NewWithT(t)
	s := newLimitedServer(t, listen(t), 1)
	conn := dial(t, s.address)
	reader := bufio.NewReader(conn)
	for range 5 {
		_, err := io.WriteString(conn, compose(goldentest.Fields{"text": "12000", "body": "100"}))
		g.Expect(err).NotTo(HaveOccurred())
		response, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.StatusCode).To(Equal(http.StatusOK))
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	// The answer may arrive before all has been written.
	go func() { _, _ = io.WriteString(conn, compose(goldentest.Fields{"text": "30000"})) }()
	response, err := http.ReadResponse(reader, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	_ = response.Body.Close()
}

// Guards against a request that is cancelled because its body ended longer ago than the
// body pace.
func TestBodyPaceEnds(t *testing.T) {
	g := NewWithT(t)
	s := newLimitedServer(t, listen(t), 1, connectionlimiter.WithBodyPace(pace))
	conn := dial(t, s.address)
	_, err := io.WriteString(conn, "POST /wait HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\na")
	g.Expect(err).NotTo(HaveOccurred())
	response := make(chan int, 1)
	go func() {
		if r, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			_ = r.Body.Close()
			response <- r.StatusCode
		}
	}()
	g.Eventually(s.waiting.Load).Should(BeEquivalentTo(1))
	g.Consistently(response, 3*pace).ShouldNot(Receive())
	close(s.released)
	g.Eventually(response).Should(Receive(Equal(http.StatusOK)))
}

// Guards against closing a connection whose body arrives slowly but steadily.
func TestSteadyBodyIsKept(t *testing.T) {
	g := NewWithT(t)
	clock := timer.NewManual(time.Unix(1000, 0))
	s := newTimedServer(t, listen(t), timer.New(timer.WithManual(clock)), 1)
	conn := dial(t, s.address)
	_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 20000\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(s.memory.Used).Should(BeNumerically(">", 0))
	clock.Advance(900 * time.Millisecond)
	_, err = io.WriteString(conn, strings.Repeat("b", 16<<10))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(s.memory.Used).Should(BeNumerically(">=", 32<<10))
	clock.Advance(900 * time.Millisecond)
	_ = dial(t, s.address)
	g.Eventually(s.refusals).Should(Equal("[connections_used_up]"))
	_, err = io.WriteString(conn, strings.Repeat("b", 20000-16<<10))
	g.Expect(err).NotTo(HaveOccurred())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.StatusCode).To(Equal(http.StatusOK))
	_ = response.Body.Close()
}

// Guards against dropping an answer that its caller reads slowly but steadily.
func TestSteadyReaderIsKept(t *testing.T) {
	g := NewWithT(t)
	clock := timer.NewManual(time.Unix(1000, 0))
	listener := &pipeListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
	s := newTimedServer(t, listener, timer.New(timer.WithManual(clock)), 1)
	caller, served := net.Pipe()
	listener.conns <- served
	_, err := io.WriteString(caller, "GET /answer HTTP/1.1\r\nHost: a\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	reader := bufio.NewReader(caller)
	response, err := http.ReadResponse(reader, nil) //nolint:bodyclose // The connection ends with the test.
	g.Expect(err).NotTo(HaveOccurred())
	read := 0
	for range 3 {
		n, err := io.ReadFull(response.Body, make([]byte, 60<<10))
		g.Expect(err).NotTo(HaveOccurred())
		read += n
		clock.Advance(600 * time.Millisecond)
	}
	g.Expect(s.memory.NewClaim(func() {}).Cover(100 << 10)).NotTo(Succeed())
	rest, err := io.Copy(io.Discard, response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(read + int(rest)).To(Equal(answerBytes))
}

// Guards against dropping the answer of a request that has run, because others hold the
// memory at the moment at which it is written.
func TestAnswerWaitsForRoom(t *testing.T) {
	g := NewWithT(t)
	s := newLimitedServer(t, listen(t), 1)
	others := s.memory.NewClaim(func() { t.Error("a running request was dropped") })
	g.Expect(others.Enter(evictor.Running{})).To(Succeed())
	g.Expect(others.Grow(total - reserved - 1<<10)).To(Succeed())
	time.AfterFunc(300*time.Millisecond, others.Release)
	conn := dial(t, s.address)
	_, err := io.WriteString(conn, "GET /answer HTTP/1.1\r\nHost: a\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	read, err := io.Copy(io.Discard, response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(read).To(BeEquivalentTo(answerBytes))
	_ = response.Body.Close()
}
