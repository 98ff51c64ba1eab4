package enroller_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/enroller"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

const table rows.Table = "entry_vms"

// row returns the row of a VM, specified as name:state:age.
func row(text string, clock time.Duration) rows.Row {
	fields := strings.Split(text, ":")
	age, err := time.ParseDuration(fields[2])
	if err != nil {
		panic(err)
	}
	value, err := json.Marshal(map[string]any{
		"address": fields[0] + ":1", "peer": fields[0] + ":2", "domain": "d1", "region": "r1",
		"ready": fields[1] != "starting", "leaving": fields[1] == "leaving", "written_at": clock - age,
	})
	if err != nil {
		panic(err)
	}
	return rows.Row{ID: rows.ID{Table: table, Key: rows.Key(fields[0])}, Value: value, Version: 4}
}

// newDecider returns a function that runs the lines of a golden file on one
// controller.
func newDecider() func(line string) string {
	e := enroller.New(snapshot.Member{VM: "self", RequestAddress: "self:1", PeerAddress: "self:2", Domain: "d1", Region: "r1", Process: "process"}, enroller.DefaultInterval)
	now, clock := time.Unix(0, 0), time.Hour
	e.Handle(now, message.Started{})
	return func(line string) string {
		f := goldentest.Parse(line)
		now, clock = now.Add(f.Duration("after")), clock+f.Duration("after")
		var effects []effect.Effect
		switch {
		case f.Has("tick"):
			effects = e.Handle(now, message.Tick{})
		case f.Has("routes"):
			effects = e.Handle(now, message.RoutesChanged{})
		case f.Has("shutdown"):
			effects = e.Handle(now, message.ShutdownRequested{})
		case f.Has("copied"):
			effects = e.Handle(now, copiedMembers(now, clock, f))
		case f.Has("written"):
			effects = e.Handle(now, writeResult(f, clock))
		default:
			m := message.RowsRead{Range: rows.Range{Table: table}, SentAt: now, Page: rows.Page{Clock: rows.Clock(clock)}}
			if f.Has("fails") {
				m.Err = rows.ErrOutcomeUnknown
			}
			for _, text := range strings.Split(f["rows"], ",") {
				if text != "" {
					m.Page.Rows = append(m.Page.Rows, row(text, clock))
				}
			}
			effects = e.Handle(now, m)
		}
		view := &snapshot.Snapshot{}
		e.Describe(view)
		var members []string
		for _, m := range view.Entry.Members {
			members = append(members, string(m.VM))
		}
		return fmt.Sprintf("members=%s %s", strings.Join(members, ","), describe(now, effects))
	}
}

// copiedMembers returns the response of a VM that reads for others: members,
// specified as name:state, or an error.
func copiedMembers(now time.Time, clock time.Duration, f goldentest.Fields) message.MembersFetched {
	if f["copied"] == "fails" {
		return message.MembersFetched{Err: rows.ErrOutcomeUnknown, SentAt: now}
	}
	var present []snapshot.Member
	for _, text := range strings.Split(f["copied"], ",") {
		name, state, _ := strings.Cut(text, ":")
		present = append(present, snapshot.Member{
			VM: ident.VMID(name), Address: name + ":1", PeerAddress: name + ":2", Domain: "d1", Region: "r1", Ready: state != "starting", Leaving: state == "leaving",
		})
	}
	age := f.Duration("age")
	list := snapshot.NewMemberList(present, rows.Clock(clock-age), now.Add(-age))
	return message.MembersFetched{Change: list.ChangeSince(0, now), SentAt: now}
}

// writeResult returns the store's response to a write of this VM's row, with the
// version of the row that it wrote or found.
func writeResult(f goldentest.Fields, clock time.Duration) message.RowsWritten {
	own := row("self:ready:0s", clock)
	m := message.RowsWritten{Transaction: rows.Transaction{Puts: []rows.Put{{ID: own.ID, Value: own.Value}}}}
	own.Version = rows.Version(f.Int("version"))
	switch f["written"] {
	case "committed":
		m.Outcome = rows.Committed{Version: own.Version}
	case "conflict":
		m.Outcome = rows.Conflict{Rows: []rows.Row{own}}
	default:
		m.Err = rows.ErrOutcomeUnknown
	}
	return m
}

func describe(now time.Time, effects []effect.Effect) string {
	var out strings.Builder
	for _, e := range effects {
		switch e := e.(type) {
		case effect.ReadRows:
			out.WriteString("read ")
		case effect.FetchMembers:
			fmt.Fprintf(&out, "ask %s ", e.Address)
		case effect.WakeAt:
			fmt.Fprintf(&out, "wake=%s ", e.Time.Sub(now))
		case effect.WriteRows:
			for _, c := range e.Transaction.Conditions {
				fmt.Fprintf(&out, "if %s=%d ", c.Key, c.Version)
			}
			for _, p := range e.Transaction.Puts {
				var value struct{ Ready, Leaving bool }
				if err := json.Unmarshal(p.Value, &value); err != nil {
					panic(err)
				}
				fmt.Fprintf(&out, "put %s ready=%t leaving=%t ", p.Key, value.Ready, value.Leaving)
			}
			for _, id := range e.Transaction.Removes {
				fmt.Fprintf(&out, "remove %s ", id.Key)
			}
		}
	}
	return out.String()
}

// Guards against addresses of VMs that are dead, leaving or without routes,
// against VMs that appear dead during an outage of the store, and against a late
// write of an outdated row.
func TestEnroller(t *testing.T) {
	NewWithT(t).Expect(goldentest.Check("testdata/members.txtar", newDecider())).To(Succeed())
}

// Guards against every VM of a large failure domain reading the table, against
// using an outdated copy of the list, against the row of a VM expiring because the
// VM does not read, and against a row that is never written again after a lost
// response.
func TestSharedList(t *testing.T) {
	NewWithT(t).Expect(goldentest.Check("testdata/shared.txtar", newDecider())).To(Succeed())
}

// Guards against returning a single address, which a caller can't replace when it
// fails, and against distant addresses when there are enough nearby.
func TestAddresses(t *testing.T) {
	NewWithT(t).Expect(goldentest.Check("testdata/addresses.txtar", func(line string) string {
		f := goldentest.Parse(line)
		var members []snapshot.Member
		for _, text := range strings.Split(f["members"], ",") {
			name, place, _ := strings.Cut(text, "@")
			domain, region, _ := strings.Cut(place, "/")
			members = append(members, snapshot.Member{RequestAddress: name, Domain: ident.Domain(domain), Region: ident.Region(region)})
		}
		return strings.Join(enroller.Addresses(members, ident.Domain(f["domain"]), ident.Region(f["region"])), ",")
	})).To(Succeed())
}
