// Package nodetest proves the properties of whole nodes over a small fake of
// the platform, one step at a time and without goroutines or a real clock.
package nodetest

import (
	"context"
	"errors"
	"slices"
	"strings"

	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/table"
)

var errOutage = errors.New("the platform is out")

// platform is a transactional table and an object store with faults.
type platform struct {
	rows    map[string]table.Row
	objects map[string][]byte
	outage  bool
	// lost and dropped are the numbers of next commits whose answer is lost
	// after, or before, the write took effect.
	lost, dropped int
	// delayed writes reached the platform and take effect later.
	delayed       [][]table.Write
	writes, reads int
	// watch sees all writes that take effect; it may be nil.
	watch func([]table.Write)
}

func newPlatform() *platform {
	return &platform{rows: map[string]table.Row{}, objects: map[string][]byte{}}
}

func (p *platform) Get(_ context.Context, kind, key string) (table.Row, bool, error) {
	p.reads++
	if p.outage {
		return table.Row{}, false, errOutage
	}
	row, ok := p.rows[kind+"/"+key]
	return row, ok, nil
}

func (p *platform) List(_ context.Context, kind string) ([]table.Row, error) {
	p.reads++
	if p.outage {
		return nil, errOutage
	}
	var rows []table.Row
	for name, row := range p.rows {
		if strings.HasPrefix(name, kind+"/") {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b table.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows, nil
}

func (p *platform) Commit(_ context.Context, writes []table.Write) message.Verdict {
	if p.outage {
		return message.Uncertain
	}
	if p.dropped > 0 {
		p.dropped--
		p.delayed = append(p.delayed, writes)
		return message.Uncertain
	}
	return p.apply(writes)
}

// arrive lets the oldest delayed write take effect, if its conditions hold.
func (p *platform) arrive() {
	if len(p.delayed) > 0 {
		writes := p.delayed[0]
		p.delayed = p.delayed[1:]
		p.apply(writes)
	}
}

func (p *platform) apply(writes []table.Write) message.Verdict {
	for _, w := range writes {
		row := p.rows[w.Kind+"/"+w.Key]
		if row.Version == w.Expect {
			continue
		}
		if first := p.rows[writes[0].Kind+"/"+writes[0].Key]; first.WriteID == writes[0].WriteID {
			return message.Committed
		}
		return message.Conflict
	}
	p.writes++
	for _, w := range writes {
		p.rows[w.Kind+"/"+w.Key] = table.Row{Kind: w.Kind, Key: w.Key, Version: w.Expect + 1, WriteID: w.WriteID, Body: w.Body}
	}
	if p.watch != nil {
		p.watch(writes)
	}
	if p.lost > 0 {
		p.lost--
		return message.Uncertain
	}
	return message.Committed
}

func (p *platform) Put(_ context.Context, key string, content []byte) error {
	if p.outage {
		return errOutage
	}
	p.objects[key] = content
	return nil
}

// objectStore has the object half, whose Get has another signature.
type objectStore struct{ *platform }

func (o objectStore) Get(_ context.Context, key string) ([]byte, bool, error) {
	if o.outage {
		return nil, false, errOutage
	}
	content, ok := o.objects[key]
	return content, ok, nil
}
