package entrytest

import (
	"bytes"
	"sync"
)

// logLimit bounds the log that a failed test shows, in bytes.
const logLimit = 64 << 10

// vmLog keeps the last lines of all VMs of a deployment.
type vmLog struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

// Write adds a line.
func (l *vmLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lines.Len()+len(line) > 2*logLimit {
		l.lines.Next(l.lines.Len() - logLimit)
	}
	return l.lines.Write(line)
}

func (l *vmLog) last() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.String()
}
