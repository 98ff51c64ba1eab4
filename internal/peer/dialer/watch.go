package dialer

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/peer/protocol"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// watch finds out when a connection was silent for too long. It counts bytes,
// not messages, since a long message may take longer than the limit. It also
// counts the time in which the answer's receiver held up the reading.
type watch struct {
	timer              *timer.Service
	stream             *protocol.Stream
	firstByte, between time.Duration
	start              time.Time
	last               time.Time
	subscription       *timer.Subscription
}

func newWatch(t *timer.Service, stream *protocol.Stream, firstByte, between time.Duration) *watch {
	now := t.Now()
	w := &watch{timer: t, stream: stream, firstByte: firstByte, between: between, start: now, last: now}
	w.subscription = t.After(min(firstByte, between))
	return w
}

// progress notes that the receiver has taken a part of the answer.
func (w *watch) progress() { w.last = w.timer.Now() }

// silent is called when the subscription wakes. It subscribes again if the
// limit has not passed since the last sign.
func (w *watch) silent() bool {
	now, read := w.timer.Now(), w.stream.LastRead()
	limit := w.firstByte
	if read.After(w.start) {
		limit = w.between
	}
	if read.After(w.last) {
		w.last = read
	}
	left := limit - now.Sub(w.last)
	if left <= 0 {
		return true
	}
	// Wakes after the shorter limit at the latest: the first byte may come
	// meanwhile, from which on that limit holds.
	w.subscription = w.timer.After(min(left, w.between))
	return false
}

func (w *watch) stop() { w.subscription.Cancel() }
