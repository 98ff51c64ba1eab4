package printer

import (
	"fmt"
	"strings"
)

// Finding is a finding in a file.
type Finding struct {
	File     string `json:"file"`
	Severity string `json:"severity"`
	Where    string `json:"where"`
	// Line counts from 1. It is 0 if the finding is about no line.
	Line int    `json:"line,omitempty"`
	What string `json:"what"`
	// Remedy says what to do, or what callers see of a change.
	Remedy string `json:"remedy"`
}

// Findings writes the findings of the check of a file.
func (p *Printer) Findings(file string, list []Finding) error {
	if p.json {
		return p.encode(struct {
			File     string    `json:"file"`
			Findings []Finding `json:"findings"`
		}{file, list})
	}
	var b strings.Builder
	for _, f := range list {
		where := f.Where
		if f.Line > 0 {
			where += fmt.Sprintf(" (line %d)", f.Line)
		}
		fmt.Fprintf(&b, "%s: %s: %s: %s; %s\n", f.File, f.Severity, where, f.What, f.Remedy)
	}
	if len(list) == 0 {
		fmt.Fprintf(&b, "%s: nothing found\n", file)
	}
	_, err := p.out.Write([]byte(b.String()))
	return err
}
