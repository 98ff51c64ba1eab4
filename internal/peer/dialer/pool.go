package dialer

import (
	"context"

	"github.com/sassafrasspur/sassafrasspur/internal/peer/protocol"
)

// takeIdle returns the idle connection that was used last, or nil.
func (d *Dialer) takeIdle(address string) *link {
	d.mu.Lock()
	defer d.mu.Unlock()
	links := d.idle[address]
	for len(links) > 0 {
		l := links[len(links)-1]
		links = links[:len(links)-1]
		d.idle[address] = links
		if !l.isClosed() {
			return l
		}
	}
	delete(d.idle, address)
	return nil
}

// put makes a connection idle after a request.
func (d *Dialer) put(l *link) {
	l.used = d.timer.Now()
	d.keep(l)
}

// keep makes a connection idle, or closes it if there are enough.
func (d *Dialer) keep(l *link) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || l.isClosed() || len(d.idle[l.address]) >= d.poolSize {
		l.close()
		return
	}
	d.idle[l.address] = append(d.idle[l.address], l)
}

// pingIdle pings each idle connection in a goroutine of its own, so that a
// silent one does not hold up the others. A connection that is pinged is not
// available to requests.
func (d *Dialer) pingIdle() {
	d.mu.Lock()
	idle := d.idle
	if !d.closed {
		d.idle = map[string][]*link{}
	}
	d.mu.Unlock()
	now := d.timer.Now()
	for _, links := range idle {
		for _, l := range links {
			if now.Sub(l.used) >= d.idleLimit {
				l.close()
				continue
			}
			go func() {
				if err := d.ping(l); err != nil {
					d.logger.Warn().Err(err).Str("address", l.address).Msg("idle peer connection closed")
					return
				}
				d.keep(l)
			}()
		}
	}
}

// ping closes the connection unless the answer comes in time.
func (d *Dialer) ping(l *link) error {
	return d.converse(context.Background(), l, d.brief(protocol.MethodPing, struct{}{}, &struct{}{}))
}
