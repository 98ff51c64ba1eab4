// Package observer measures and logs what happens in the control goroutine.
//
// It sees each message after the controllers, and each new snapshot. The
// controllers know nothing of it.
package observer

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/logger"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

// Meter receives the measurements.
type Meter interface {
	CountTakeover()
	ObserveCommit(time.Duration)
	ObserveControlLoop(time.Duration)
}

// Observer watches the control goroutine, which is the only one to call it.
type Observer struct {
	meter Meter
	log   *logger.Logger
	// failedAt is when the first of a row of failed reads of the platform
	// ended; zero if the last read succeeded.
	failedAt time.Time
}

// New returns an Observer.
func New(m Meter, log *logger.Logger) *Observer {
	return &Observer{meter: m, log: log}
}

// Handled takes note of a message that took the controllers some time.
func (o *Observer) Handled(now time.Time, m message.Message, took time.Duration) {
	o.meter.ObserveControlLoop(took)
	switch m := m.(type) {
	case message.Joined:
		o.log.Number("incarnation", int64(m.Node.Incarnation)).Info("joined")
	case message.Fenced:
		o.log.Warn("fenced")
	case message.CommitDone:
		if m.Verdict == message.Committed {
			o.meter.ObserveCommit(m.AnsweredAt.Sub(m.SentAt))
		}
	case message.MoveDone:
		o.moved(m)
	case message.ClusterReadFailed:
		if o.failedAt.IsZero() {
			o.failedAt = now
			o.log.Warn("outage of the platform began")
		}
	case message.ClusterRead:
		if !o.failedAt.IsZero() {
			o.log.Duration("duration", now.Sub(o.failedAt)).Info("outage of the platform ended")
			o.failedAt = time.Time{}
		}
	}
}

func (o *Observer) moved(m message.MoveDone) {
	if m.Verdict != message.Committed {
		return
	}
	line := o.log.Number("shards", int64(m.Shards))
	if m.Closed == "" {
		line.Info("handover")
		return
	}
	o.meter.CountTakeover()
	line.Peer(m.Closed).Warn("takeover")
}

// Published takes note of a new snapshot and the one that it replaces.
func (o *Observer) Published(before, after *snapshot.Snapshot) {
	next := after.Configuration
	if next == nil || before.Configuration != nil && before.Configuration.Version >= next.Version {
		return
	}
	o.log.Number("version", int64(next.Version)).Plan(next.Plan).Info("configuration applied")
}
