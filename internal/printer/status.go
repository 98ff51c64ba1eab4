package printer

import (
	"fmt"
	"strings"

	statusserver "github.com/sassafrasspur/sassafrasspur/gen/http/status/server"
	"github.com/sassafrasspur/sassafrasspur/gen/status"
)

// maxLines bounds the findings and calls that are printed, so that the status
// fits on one screen. JSON has all.
const maxLines = 8

// Status writes the state of the system: first whether it is healthy, then what
// to do, then the numbers.
func (p *Printer) Status(v *status.ShowResult) error {
	if p.json {
		return p.encode(statusserver.NewShowResponseBody(v))
	}
	headline := "HEALTHY"
	if !v.Healthy {
		headline = "NOT HEALTHY"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s, as %s sees it\n", headline, v.VM)
	findings(&b, "problem", v.Problems)
	findings(&b, "note", v.Notes)
	b.WriteString("\n")
	if _, err := p.out.Write([]byte(b.String())); err != nil {
		return err
	}
	return p.rows(statusRows(v))
}

func findings(b *strings.Builder, name string, list []*status.Finding) {
	for i, f := range list {
		if i == maxLines {
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
		{"unknown", fmt.Sprintf("%d outcomes%s", v.OutcomesUnknown, list(calls))},
		{"orders", fmt.Sprintf("%d not confirmed here%s", len(v.OpenOrders), list(orders))},
	}
}

// list writes the first items behind a colon.
func list(items []string) string {
	if len(items) == 0 {
		return ""
	}
	text := ": " + strings.Join(items[:min(len(items), maxLines)], ", ")
	if len(items) > maxLines {
		text += ", ..."
	}
	return text
}
