package news

import (
	"math"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

// From returns the news of a node at a time.
func From(vm ident.VMID, view *snapshot.Snapshot, now time.Time) News {
	own := News{VM: vm, Leaving: view.Leaving}
	if view.Configuration != nil {
		own.Version = view.Configuration.Version
		own.Age = now.Sub(view.ConfigurationAsOf)
	}
	return own
}

// Answer returns a node's own news as the answer to those of a peer. A peer with
// an older configuration gets the whole one.
func Answer(heard, own News, view *snapshot.Snapshot) News {
	if own.Version > heard.Version {
		own.Configuration = view.Configuration
	}
	return own
}

// Heard returns the message for news that a peer gave as the answer to a request
// that was sent at a time of the node's own clock.
func (n News) Heard(asked time.Time) message.PeerHeard {
	return message.PeerHeard{
		VM:            n.VM,
		Version:       n.Version,
		Age:           n.Age,
		Configuration: n.Configuration,
		Leaving:       n.Leaving,
		At:            asked,
	}
}

// Received returns the message for news that came with a peer's request. The
// time that a request spends in a socket is not known, and it is long if the
// process was frozen, so that the news say nothing about how fresh they are.
func (n News) Received(now time.Time) message.PeerHeard {
	heard := n.Heard(now)
	heard.Age = unknownAge
	return heard
}

// unknownAge is beyond each limit of freshness.
const unknownAge = time.Duration(math.MaxInt64)
