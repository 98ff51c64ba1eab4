package discoverer_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/discoverer"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
)

const table rows.Table = "upstreams"

// decode reads an entry whose value is its state.
func decode(row rows.Row) (upstream.Upstream, error) {
	switch state := string(row.Value); state {
	case "ready", "leaving":
		return upstream.Upstream{ID: ident.UpstreamID(row.Key), Leaving: state == "leaving"}, nil
	}
	return upstream.Upstream{}, errors.Errorf("entry %s can't be read", row.Key)
}

// decider keeps the controller from line to line. A line has the time since the
// last one, and what the store answers.
func decider() func(line string) string {
	var rejected []string
	other := map[ident.UpstreamID]upstream.Upstream{}
	now := time.Unix(0, 0)
	start := func(options ...discoverer.Option) *discoverer.Discoverer {
		d := discoverer.New(snapshot.Member{VM: "self", Process: "self", Domain: "d"}, table, decode,
			func(err error) { rejected = append(rejected, err.Error()) }, options...)
		d.Handle(now, message.Started{})
		return d
	}
	d := start()
	return func(line string) string {
		f := goldentest.Parse(line)
		now = now.Add(f.Duration("after"))
		rejected = nil
		var effects []effect.Effect
		switch {
		case f.Has("peers"):
			view := &snapshot.Snapshot{}
			d.Describe(view)
			return fmt.Sprintf("answers=%t", view.Entry.UpstreamList != nil)
		case f.Has("limit"):
			d = start(discoverer.WithLimit(f.Duration("limit")))
		case f.Has("tick"):
			effects = d.Handle(now, message.Tick{})
		case f.Has("members"):
			effects = d.Handle(now, listed(f["members"]))
		case f.Has("copied"):
			effects = d.Handle(now, copied(now, f, other))
		default:
			m := message.RowsRead{Range: rows.Range{Table: table}, SentAt: now}
			if f.Has("fails") {
				m.Err = rows.ErrUnknown
			}
			for _, entry := range strings.Split(f["list"], ",") {
				id, state, ok := strings.Cut(entry, ":")
				if ok {
					m.Page.Rows = append(m.Page.Rows, rows.Row{ID: rows.ID{Table: table, Key: rows.Key(id)}, Value: []byte(state)})
				}
			}
			other = map[ident.UpstreamID]upstream.Upstream{}
			for i := range f.Int("many") {
				id := fmt.Sprint("u", i)
				other[ident.UpstreamID(id)] = upstream.Upstream{ID: ident.UpstreamID(id)}
				m.Page.Rows = append(m.Page.Rows, rows.Row{ID: rows.ID{Table: table, Key: rows.Key(id)}, Value: []byte("ready")})
			}
			effects = d.Handle(now, m)
		}
		return describe(now, effects) + strings.Join(rejected, "; ")
	}
}

// listed is the VMs of two failure domains, written as name@domain.
func listed(text string) message.MembersListed {
	var m message.MembersListed
	for _, entry := range strings.Split(text, ",") {
		name, domain, _ := strings.Cut(entry, "@")
		m.Serving = append(m.Serving, snapshot.Member{VM: ident.VMID(name), Domain: ident.Domain(domain), PeerAddress: name})
	}
	return m
}

// copied is the answer of a VM that has the upstreams of other, after a change of
// them.
func copied(now time.Time, f goldentest.Fields, other map[ident.UpstreamID]upstream.Upstream) message.UpstreamsCopied {
	m := message.UpstreamsCopied{SentAt: now, Change: upstream.Change{Age: f.Duration("age")}}
	if id := ident.UpstreamID(f["gone"]); id != "" {
		delete(other, id)
		m.Change.Gone = []ident.UpstreamID{id}
	}
	if id := ident.UpstreamID(f["leaving"]); id != "" {
		other[id] = upstream.Upstream{ID: id, Leaving: true}
		m.Change.Listed = []upstream.Upstream{other[id]}
	}
	m.Change.Digest = upstream.NewList().Next(other).Digest()
	switch f["copied"] {
	case "fails":
		m.Err = errors.New("no answer")
	case "incomplete":
		m.Change.Listed, m.Change.Gone = nil, nil
	}
	return m
}

func describe(now time.Time, effects []effect.Effect) string {
	var out strings.Builder
	for _, e := range effects {
		switch e := e.(type) {
		case effect.ReadRows:
			out.WriteString("read ")
		case effect.AskUpstreams:
			fmt.Fprintf(&out, "ask %s ", e.Address)
		case effect.WakeAt:
			fmt.Fprintf(&out, "wake=%s ", e.Time.Sub(now))
		case effect.Send:
			list := e.Message.(message.UpstreamsRead).Upstreams
			if len(list) > 10 {
				fmt.Fprintf(&out, "%d upstreams ", len(list))
				list = slices.DeleteFunc(slices.Clone(list), func(u upstream.Upstream) bool { return !u.Leaving })
			}
			for _, u := range list {
				fmt.Fprintf(&out, "%s leaving=%t ", u.ID, u.Leaving)
			}
		}
	}
	return out.String()
}

// Guards against a list that stalls, upstreams that get work after they left,
// live upstreams that are dropped because their entries lapsed in an outage, and
// a list that every VM of a large failure domain reads, or that a VM takes over
// although it is old or the limit leaves no time for that. A VM that was cut off
// gave entries that it kept for their return to others, for which they were gone.
func TestDiscoverer(t *testing.T) {
	NewWithT(t).Expect(goldentest.Check("testdata/*.txtar", decider())).To(Succeed())
}
