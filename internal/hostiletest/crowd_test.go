package hostiletest

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// writeTimeout ends a write to a process that no longer reads.
const writeTimeout = 5 * time.Second

// member sends what one caller of a crowd sends. It returns when the process no longer
// accepts it.
type member func(n int, conn net.Conn)

// connect opens the connections of a crowd and lets all members send at once. The
// connections stay open until the end of the test, if the process does not close them.
func connect(t *testing.T, address string, size int, send member) {
	var sending sync.WaitGroup
	defer sending.Wait()
	for n := range size {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Logf("connection %d: %v", n, err)
			return
		}
		t.Cleanup(func() { _ = conn.Close() })
		sending.Go(func() {
			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			send(n, conn)
		})
	}
}

// write reports whether a text was written.
func write(conn net.Conn, text string) bool {
	_, err := conn.Write([]byte(text))
	return err == nil
}

// repeat writes a text until total bytes are written or the process no longer reads.
func repeat(conn net.Conn, text string, total int) {
	block := strings.Repeat(text, max(1, (64<<10)/len(text)))
	for sent := 0; sent < total; sent += len(block) {
		if !write(conn, block[:min(len(block), total-sent)]) {
			return
		}
	}
}

// head returns a header section without its end.
func head(method, path, more string, n int) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: example.test\r\nX-Attempt-Id: member-%d\r\n%s", method, path, n, more)
}

// uniqueLines returns header lines of five characters with distinct names.
func uniqueLines(total int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for i := 0; b.Len()+6 <= total; i++ {
		b.Write([]byte{letters[i%26], letters[i/26%36], letters[i/26/36%36], ':', '\r', '\n'})
	}
	return b.String()
}
