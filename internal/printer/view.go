package printer

import (
	"fmt"

	viewserver "github.com/sassafrasspur/sassafrasspur/gen/http/view/server"
	"github.com/sassafrasspur/sassafrasspur/gen/view"
)

// View writes what one entry VM believes, with the age of each belief.
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
	table := [][]any{
		{"vm", fmt.Sprintf("%s in %s of %s, %s, %s", v.VM, v.Domain, v.Region, state, listed)},
		{"process", v.Process},
		{"routes", fmt.Sprintf("version %d with %d routes, %s", v.RoutesVersion, v.Routes, age(v.RoutesAgeMs))},
		{"configuration", fmt.Sprintf("version %d, %s", v.ConfigurationVersion, age(v.ConfigurationAgeMs))},
		{"upstreams", fmt.Sprintf("%d, %s", v.Upstreams, age(v.UpstreamsAgeMs))},
		{"members", fmt.Sprintf("%d, %s", len(v.Members), age(v.MembersAgeMs))},
	}
	for _, m := range v.Members {
		table = append(table, []any{"", fmt.Sprintf("%s in %s of %s %s %s", m.VM, m.Domain, m.Region, m.CallerAddress, m.RequestAddress)})
	}
	return p.rows(table)
}

// age describes the time since a read.
func age(ms *int64) string {
	if ms == nil {
		return "never read"
	}
	return fmt.Sprintf("read %d ms ago", *ms)
}
