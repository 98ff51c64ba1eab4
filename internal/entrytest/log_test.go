package entrytest

import (
	"bytes"
	"sync"
)

// logLimit is the number of bytes of recent log that are kept when the buffer
// exceeds twice that size. A failed test prints the buffer.
const logLimit = 64 << 10

// logBuffer keeps the most recent log lines of all VMs of a deployment.
type logBuffer struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

// Write appends a line and drops old ones when the buffer is full.
func (l *logBuffer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lines.Len()+len(line) > 2*logLimit {
		l.lines.Next(l.lines.Len() - logLimit)
	}
	return l.lines.Write(line)
}

func (l *logBuffer) recentLines() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.String()
}
