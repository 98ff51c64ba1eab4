package hostiletest

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	// endlessCrowd is the number of requests that get an answer without end at once.
	endlessCrowd = 200
	// endlessTime is how long such an answer goes on, longer than its route allows.
	endlessTime = 15 * time.Second
	// blockPause keeps all of them together at 125 MB a second, as the link of a VM does.
	blockPause = 100 * time.Millisecond
)

// endlessAnswer begins like a valid answer and goes on until its connection is closed.
type endlessAnswer struct {
	contentType string
	// block returns the n-th part of 64 KB.
	block func(n int) string
}

// endlessAnswers has the answers by the path of their requests.
var endlessAnswers = map[string]endlessAnswer{
	"/plan/events": {"text/event-stream", func(n int) string {
		var b strings.Builder
		for i := range 32 {
			fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", 32*n+i+1, strings.Repeat("w", 2000))
		}
		return b.String()
	}},
	"/plan/event": {"text/event-stream", func(int) string { return strings.Repeat("data: "+strings.Repeat("w", 2000)+"\n", 32) }},
	"/look/body":  {"application/octet-stream", func(int) string { return strings.Repeat("b", 64<<10) }},
}

func (a endlessAnswer) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", a.contentType)
	for n, until := 0, time.Now().Add(endlessTime); time.Now().Before(until); n++ {
		if _, err := io.WriteString(w, a.block(n)); err != nil {
			return
		}
		time.Sleep(blockPause)
	}
}

// Guards against upstreams whose answers have no end and take the memory of the VM: turns
// whose output is kept, an event that is read until it is complete, and a body. The turns
// state more tokens than arrive.
func TestAnswersWithoutEnd(t *testing.T) {
	for path := range endlessAnswers {
		t.Run(path[1:], func(t *testing.T) {
			v := startVM(t)
			connect(t, v.bound.Requests, endlessCrowd, func(n int, conn net.Conn) {
				if write(conn, head("POST", path, fmt.Sprintf("X-Program-Id: p%d\r\nX-Token-Usage: 100,1000000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", n), n)) {
					go func() { _, _ = io.Copy(io.Discard, conn) }()
				}
			})
			v.expectSound(t)
		})
	}
}
