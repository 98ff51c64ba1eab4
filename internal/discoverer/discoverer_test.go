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

// decode decodes an entry whose value is its state.
func decode(row rows.Row) (upstream.Upstream, error) {
	switch state := string(row.Value); state {
	case "ready", "leaving":
		return upstream.Upstream{ID: ident.UpstreamID(row.Key), Leaving: state == "leaving"}, nil
	}
	return upstream.Upstream{}, errors.Errorf("entry %s can't be read", row.Key)
}

// newDecider returns a function that runs the lines of a golden file on one
// controller. A line has the time since the previous one, and the response of the
// store.
func newDecider() func(line string) string {
	var rejected []string
	peerUpstreams := map[ident.UpstreamID]upstream.Upstream{}
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
			d = start(discoverer.WithDrainLimit(f.Duration("limit")))
		case f.Has("tick"):
			effects = d.Handle(now, message.Tick{})
		case f.Has("members"):
			effects = d.Handle(now, membersListed(f["members"]))
		case f.Has("copied"):
			effects = d.Handle(now, upstreamsCopied(now, f, peerUpstreams))
		default:
			m := message.RowsRead{Range: rows.Range{Table: table}, SentAt: now}
			if f.Has("fails") {
				m.Err = rows.ErrOutcomeUnknown
			}
			for _, entry := range strings.Split(f["list"], ",") {
				id, state, ok := strings.Cut(entry, ":")
				if ok {
					m.Page.Rows = append(m.Page.Rows, rows.Row{ID: rows.ID{Table: table, Key: rows.Key(id)}, Value: []byte(state)})
				}
			}
			peerUpstreams = map[ident.UpstreamID]upstream.Upstream{}
			for i := range f.Int("many") {
				id := fmt.Sprint("u", i)
				peerUpstreams[ident.UpstreamID(id)] = upstream.Upstream{ID: ident.UpstreamID(id)}
				m.Page.Rows = append(m.Page.Rows, rows.Row{ID: rows.ID{Table: table, Key: rows.Key(id)}, Value: []byte("ready")})
			}
			effects = d.Handle(now, m)
		}
		return describe(now, effects) + strings.Join(rejected, "; ")
	}
}

// membersListed returns the list of members, specified as name@domain.
func membersListed(text string) message.MembersListed {
	var m message.MembersListed
	for _, entry := range strings.Split(text, ",") {
		name, domain, _ := strings.Cut(entry, "@")
		m.Serving = append(m.Serving, snapshot.Member{VM: ident.VMID(name), Domain: ident.Domain(domain), PeerAddress: name})
	}
	return m
}

// upstreamsCopied returns the response of a peer, after the change in f was applied
// to its upstreams.
func upstreamsCopied(now time.Time, f goldentest.Fields, peerUpstreams map[ident.UpstreamID]upstream.Upstream) message.UpstreamsFetched {
	m := message.UpstreamsFetched{SentAt: now, Change: upstream.Change{Age: f.Duration("age")}}
	if id := ident.UpstreamID(f["gone"]); id != "" {
		delete(peerUpstreams, id)
		m.Change.Removed = []ident.UpstreamID{id}
	}
	if id := ident.UpstreamID(f["leaving"]); id != "" {
		peerUpstreams[id] = upstream.Upstream{ID: id, Leaving: true}
		m.Change.Listed = []upstream.Upstream{peerUpstreams[id]}
	}
	m.Change.Digest = upstream.NewList().Next(peerUpstreams).Digest()
	switch f["copied"] {
	case "fails":
		m.Err = errors.New("no response")
	case "incomplete":
		m.Change.Listed, m.Change.Removed = nil, nil
	}
	return m
}

func describe(now time.Time, effects []effect.Effect) string {
	var out strings.Builder
	for _, e := range effects {
		switch e := e.(type) {
		case effect.ReadRows:
			out.WriteString("read ")
		case effect.FetchUpstreams:
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

// Guards against a list that is no longer updated, work for upstreams that have
// left, and dropping live upstreams whose entries expired in an outage. Also
// guards against every VM of a large failure domain reading the list, and against
// copying a list that is outdated or for which the drain limit leaves no time, and
// against a VM that, after an outage of its own, passes the entries that it keeps
// to peers that have already removed them.
func TestDiscoverer(t *testing.T) {
	NewWithT(t).Expect(goldentest.Check("testdata/*.txtar", newDecider())).To(Succeed())
}
