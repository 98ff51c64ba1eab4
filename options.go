package sassafrasspur

import (
	"io"
	"os"

	"github.com/sassafrasspur/sassafrasspur/internal/settings"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// Option configures a Node.
type Option func(*Node)

// WithSettings sets the validated settings of the node.
func WithSettings(s settings.Settings) Option {
	return func(n *Node) { n.settings = s }
}

// WithLog sets the destination of log lines; the default is standard output.
func WithLog(w io.Writer) Option {
	return func(n *Node) { n.output = w }
}

// WithTimers sets the timer service; the default uses the system clock.
func WithTimers(t *timer.Service) Option {
	return func(n *Node) { n.timers = t }
}

func defaults() *Node {
	return &Node{output: os.Stdout, timers: timer.New()}
}
