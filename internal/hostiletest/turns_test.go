package hostiletest

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

const (
	// longTurnPath is the path of turns that are answered with a short stream.
	longTurnPath = "/plan/turn"
	// longTurnCrowd is the number of turns of the largest legal size that come at once.
	longTurnCrowd = 60
)

// writeShortStream answers a turn once its input was read.
func writeShortStream(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, "id: 1\ndata: out\n\n")
}

// sendTurn sends a turn with an input of the largest legal size and returns its status.
func (v *vm) sendTurn(id, program, previous string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+v.bound.Requests+longTurnPath, strings.NewReader(strings.Repeat("b", maxBodyBytes)))
	v.g.Expect(err).NotTo(HaveOccurred())
	for name, value := range map[string]string{"X-Attempt-Id": id, "X-Program-Id": program, "X-Previous-Turn": previous, "X-Token-Usage": "100,16"} {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	return statusOf(request)
}

// Guards against retained turns of legal size that are not served in calm, and that together
// take the memory of the VM: as they arrive, as they are stored, and as the history of the
// turns that continue them.
func TestLongTurns(t *testing.T) {
	v := startVM(t)
	v.g.Expect(v.sendTurn("calm", "calm", "")).To(Equal(http.StatusOK))
	v.g.Expect(v.sendTurn("calm-next", "calm", "calm")).To(Equal(http.StatusOK))
	for _, previous := range []string{"", "X-Previous-Turn: calm\r\n"} {
		connect(t, v.bound.Requests, longTurnCrowd, func(n int, conn net.Conn) {
			more := fmt.Sprintf("X-Program-Id: p%d\r\nX-Token-Usage: 100,16\r\n%sConnection: close\r\nContent-Length: %d\r\n\r\n", n, previous, maxBodyBytes)
			if write(conn, head("POST", longTurnPath, more, len(previous)<<10+n)) {
				repeat(conn, "b", maxBodyBytes)
				go func() { _, _ = io.Copy(io.Discard, conn) }()
			}
		})
		v.expectSound(t)
	}
}

// longHistoryCrowd is the number of short turns that continue a long one at once.
const longHistoryCrowd = 400

// Guards against short turns that together take the memory of the VM, because it reads the
// turn that each of them continues before it claims any memory.
func TestLongHistories(t *testing.T) {
	v := startVM(t)
	v.g.Expect(v.sendTurn("calm", "calm", "")).To(Equal(http.StatusOK))
	connect(t, v.bound.Requests, longHistoryCrowd, func(n int, conn net.Conn) {
		more := fmt.Sprintf("X-Program-Id: p%d\r\nX-Token-Usage: 100,16\r\nX-Previous-Turn: calm\r\nConnection: close\r\nContent-Length: 1\r\n\r\nb", n)
		if write(conn, head("POST", longTurnPath, more, n)) {
			go func() { _, _ = io.Copy(io.Discard, conn) }()
		}
	})
	v.expectSound(t)
}
