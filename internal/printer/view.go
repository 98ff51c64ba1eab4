package printer

import (
	"fmt"

	viewserver "github.com/sassafrasspur/sassafrasspur/gen/http/view/server"
	"github.com/sassafrasspur/sassafrasspur/gen/view"
)

// View writes the local state of one entry VM, with the age of each part.
func (p *Printer) View(v *view.ShowResult) error {
	if p.json {
		return p.encode(viewserver.NewShowResponseBody(v))
	}
	state := "live"
	if v.Leaving {
		state = "leaving"
	}
	listed := "listed"
	if !v.Enrolled {
		listed = "not listed yet"
	}
	rows := [][]any{
		{"vm", fmt.Sprintf("%s in %s of %s, %s, %s", v.VM, v.Domain, v.Region, state, listed)},
		{"process", v.Process},
		{"routes", fmt.Sprintf("version %d with %d routes, %s", v.RoutesVersion, v.Routes, formatAge(v.RoutesAgeMs))},
		{"configuration", fmt.Sprintf("version %d, %s", v.ConfigurationVersion, formatAge(v.ConfigurationAgeMs))},
		{"upstreams", fmt.Sprintf("%d, %s", v.Upstreams, formatAge(v.UpstreamsAgeMs))},
		{"members", fmt.Sprintf("%d, %s", len(v.Members), formatAge(v.MembersAgeMs))},
	}
	for _, m := range v.Members {
		rows = append(rows, []any{"", fmt.Sprintf("%s in %s of %s %s %s", m.VM, m.Domain, m.Region, m.CallerAddress, m.RequestAddress)})
	}
	return p.writeTable(rows)
}

// formatAge describes the time since a read; ms is nil if there was none.
func formatAge(ms *int64) string {
	if ms == nil {
		return "never read"
	}
	return fmt.Sprintf("read %d ms ago", *ms)
}
