package commander

import (
	"github.com/sassafrasspur/sassafrasspur/internal/configchecker"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/printer"
	"github.com/sassafrasspur/sassafrasspur/platform"
)

// CheckConfiguration checks the configuration in a file and, if against is not empty,
// shows what differs from the version in force in that file. It returns an error if one of
// the files has errors.
func (c *Commander) CheckConfiguration(file, against string) error {
	if file == "-" && against == "-" {
		return failure.New(failure.InvalidRequest, "both files are the standard input; name a file for one of them")
	}
	text, err := c.readFile(file)
	if err != nil {
		return err
	}
	next, found := platform.DecodeDocument([]byte(text))
	if next.Contents != nil {
		found = append(found, configchecker.Check(next.Contents)...)
	}
	inForce := &platform.Document{}
	var inForceFound []configchecker.Finding
	if against != "" {
		if text, err = c.readFile(against); err != nil {
			return err
		}
		inForce, inForceFound = platform.DecodeDocument([]byte(text))
		if inForce.Contents != nil {
			// Faults of the version in force do not prevent a better one.
			inForceFound = nil
			if next.Contents != nil {
				found = append(found, configchecker.Compare(inForce.Contents, next.Contents)...)
			}
		}
	}
	findings, errorCount := []printer.Finding{}, 0
	add := func(file string, d *platform.Document, f configchecker.Finding) {
		place := f.Place
		if p, ok := place.(configchecker.InForcePlace); ok {
			file, d, place = against, inForce, p.Place
		}
		where, line := d.Locate(place)
		findings = append(findings, printer.Finding{File: file, Severity: string(f.Severity), Where: where, Line: line, What: f.What, Remedy: f.Remedy})
		if f.Severity == configchecker.Error {
			errorCount++
		}
	}
	for _, f := range found {
		add(file, next, f)
	}
	for _, f := range inForceFound {
		add(against, inForce, f)
	}
	if err := c.printer.Findings(file, findings); err != nil || errorCount == 0 {
		return err
	}
	return failure.New(failure.InvalidRequest, "the check found errors (%d); correct them and check again", errorCount)
}
