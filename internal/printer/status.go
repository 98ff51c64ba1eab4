package printer

import (
	"fmt"
	"strings"

	statusserver "github.com/sassafrasspur/sassafrasspur/gen/http/status/server"
	"github.com/sassafrasspur/sassafrasspur/gen/status"
)

// maxItems limits the number of findings, calls and orders in text format, so that
// the status fits on one screen. JSON contains all of them.
const maxItems = 8

// Status writes the state of the system: first whether it is healthy, then the
// findings with their next steps, then the numbers.
func (p *Printer) Status(v *status.ShowResult) error {
	if p.json {
		return p.encode(statusserver.NewShowResponseBody(v))
	}
	headline := "HEALTHY"
	if !v.Healthy {
		headline = "NOT HEALTHY"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s, reported by %s\n", headline, v.VM)
	writeFindings(&b, "problem", v.Problems)
	writeFindings(&b, "note", v.Notes)
	b.WriteString("\n")
	if _, err := p.out.Write([]byte(b.String())); err != nil {
		return err
	}
	return p.writeTable(statusRows(v))
}

func writeFindings(b *strings.Builder, name string, list []*status.Finding) {
	for i, f := range list {
		if i == maxItems {
			fmt.Fprintf(b, "and %d more; see --output json\n", len(list)-i)
			return
		}
		fmt.Fprintf(b, "%s: %s\n  next: %s\n", name, f.Text, f.NextStep)
	}
}

func statusRows(v *status.ShowResult) [][]any {
	fresh, reachable := "fresh", "reachable"
	if !v.ConfigurationFresh {
		fresh = "too old for new work"
	}
	if !v.PlatformReachable {
		reachable = "not reachable"
	}
	var calls, orders []string
	for _, c := range v.UnknownCalls {
		calls = append(calls, c.Program+"/"+c.CallID)
	}
	for _, o := range v.OpenOrders {
		orders = append(orders, o.Kind+" "+o.Name+" on "+o.Upstream)
	}
	return [][]any{
		{"vm", fmt.Sprintf("%s, %s", v.VM, v.State)},
		{"platform", reachable},
		{"configuration", fmt.Sprintf("version %d of plan %q, %s, read %d ms ago", v.ConfigurationVersion, v.ConfigurationPlan, fresh, v.ConfigurationAgeMs)},
		{"vms", fmt.Sprintf("%d live, %d leaving", v.VmsLive, v.VmsLeaving)},
		{"upstreams", fmt.Sprintf("%d, of which %d usable", v.Upstreams, v.UpstreamsUsable)},
		{"unknown", fmt.Sprintf("%d outcomes%s", v.OutcomesUnknown, joinLimited(calls))},
		{"orders", fmt.Sprintf("%d not confirmed here%s", len(v.OpenOrders), joinLimited(orders))},
	}
}

// joinLimited returns a colon and the first items, or an empty string if there are
// no items.
func joinLimited(items []string) string {
	if len(items) == 0 {
		return ""
	}
	text := ": " + strings.Join(items[:min(len(items), maxItems)], ", ")
	if len(items) > maxItems {
		text += ", ..."
	}
	return text
}
