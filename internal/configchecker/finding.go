package configchecker

import "fmt"

// Severity is the severity of a finding.
type Severity string

// The severities.
const (
	// Error is a fault for which the document should not be sent.
	Error Severity = "error"
	// Warning is an entry without effect, or a contradiction.
	Warning Severity = "warning"
	// Change is a difference from the version in force.
	Change Severity = "change"
	// Note is anything else that an operator should know.
	Note Severity = "note"
)

// Finding is one result of a check.
type Finding struct {
	Severity Severity
	Place    Place
	What     string
	// Remedy says what to do, or what callers see of a change.
	Remedy string
}

// Place is the part of a document that a finding is about. The interface is sealed: its
// implementations are the types of this package.
type Place interface{ place() }

type (
	// DocumentPlace is the whole document.
	DocumentPlace struct{}
	// VersionPlace is the version.
	VersionPlace struct{}
	// LimitPlace is a limit on callers.
	LimitPlace struct{ Field Field }
	// RoutePlace is a route by its position in the list, from 0.
	RoutePlace struct {
		Index int
		Field Field
	}
	// PoolPlace is a pool by its position in the list, from 0.
	PoolPlace struct {
		Index int
		Field Field
	}
	// AccountsPlace is the list of accounts.
	AccountsPlace struct{}
	// AccountPlace is an account by its position in the list, from 0.
	AccountPlace struct {
		Index int
		Field Field
	}
	// TextPlace is a place that only the decoder knows.
	TextPlace struct{ Path string }
	// InForcePlace is a place in the version in force, of what was removed.
	InForcePlace struct{ Place Place }
)

func (DocumentPlace) place() {}
func (VersionPlace) place()  {}
func (LimitPlace) place()    {}
func (RoutePlace) place()    {}
func (PoolPlace) place()     {}
func (AccountsPlace) place() {}
func (AccountPlace) place()  {}
func (TextPlace) place()     {}
func (InForcePlace) place()  {}

// Field is a property of an entry; the empty one stands for the whole entry.
type Field string

// The fields.
const (
	Name           Field = "name"
	Host           Field = "host"
	Prefix         Field = "prefix"
	Kind           Field = "kind"
	Destinations   Field = "destinations"
	Timeout        Field = "timeout"
	Target         Field = "target"
	Priority       Field = "priority"
	Attempts       Field = "attempts"
	Sticky         Field = "sticky"
	Public         Field = "public"
	Retention      Field = "retention"
	Gap            Field = "gap"
	Connections    Field = "connections"
	Engine         Field = "engine"
	Keys           Field = "keys"
	Rate           Field = "rate"
	HeaderBytes    Field = "header_bytes"
	BodyBytes      Field = "body_bytes"
	HeaderDuration Field = "header_duration"
	IdleDuration   Field = "idle_duration"
)

// findings collects findings.
type findings []Finding

func (f *findings) add(severity Severity, place Place, remedy, format string, args ...any) {
	*f = append(*f, Finding{Severity: severity, Place: place, What: fmt.Sprintf(format, args...), Remedy: remedy})
}
