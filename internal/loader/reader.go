package loader

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/settings"
)

// reader collects the settings and the problems of one document.
type reader struct {
	file     string
	lines    positions
	settings *settings.Settings
	problems Problems
	// failed has the paths with a problem, on which rules between keys are not
	// checked.
	failed map[string]bool
}

// report adds a problem at a path, which is shown as name.
func (r *reader) report(path, name, format string, args ...any) {
	r.failed[path] = true
	r.problems = append(r.problems, Problem{File: r.file, Line: r.lines.line(path), Key: name, Message: fmt.Sprintf(format, args...)})
}

// document reads all tables. A missing table is read as an empty one, so that
// its required keys are reported.
func (r *reader) document(document map[string]any) {
	tables := []string{}
	for _, key := range settings.Keys() {
		if !slices.Contains(tables, key.Table) {
			tables = append(tables, key.Table)
		}
	}
	r.unknown("", "", document, slices.Concat(names(""), tables[1:]))
	scope := settings.Target{Settings: r.settings}
	r.keys("", "", "", document, scope)
	for _, table := range tables[1:] {
		value, ok := document[table]
		switch table {
		case settings.AccountsTable:
			r.accounts(value, ok)
			continue
		case settings.RegionsTable:
			r.regions(value, ok)
			continue
		}
		content, isTable := value.(map[string]any)
		if ok && !isTable {
			r.report(table, table, "is no table; write [%s]", table)
			r.failed[table] = true
			continue
		}
		r.unknown(table, table, content, names(table))
		r.keys(table, table, table, content, scope)
	}
}

func (r *reader) accounts(value any, ok bool) {
	const table = settings.AccountsTable
	elements, isArray := tablesOf(value)
	if ok && !isArray {
		r.report(table, table, "is no array of tables; write [[%s]] above each account", table)
		return
	}
	r.settings.Accounts = make([]settings.Account, len(elements))
	for i, element := range elements {
		path, name := join(table, strconv.Itoa(i)), accountName(i)
		r.unknown(path, name, element, names(table))
		r.keys(path, name, table, element, settings.Target{Settings: r.settings, Account: &r.settings.Accounts[i]})
	}
}

// regions reads the table whose keys are failure domains.
func (r *reader) regions(value any, ok bool) {
	const table = settings.RegionsTable
	content, isTable := value.(map[string]any)
	if ok && !isTable {
		r.report(table, table, "is no table; write [%s]", table)
		return
	}
	r.settings.Regions = map[ident.Domain]ident.Region{}
	for _, key := range settings.Keys() {
		if key.Table != table {
			continue
		}
		for domain, region := range content {
			scope := settings.Target{Settings: r.settings, FailureDomain: ident.Domain(domain)}
			if message := assign(key, scope, region); message != "" {
				r.report(join(table, domain), join(table, printable(domain)), "%s", message)
			}
		}
	}
}

// tablesOf returns the elements of an array of tables. The library gives them
// as []any if they are inline tables.
func tablesOf(value any) ([]map[string]any, bool) {
	switch v := value.(type) {
	case []map[string]any:
		return v, true
	case []any:
		elements := make([]map[string]any, len(v))
		for i := range v {
			element, ok := v[i].(map[string]any)
			if !ok {
				return nil, false
			}
			elements[i] = element
		}
		return elements, true
	default:
		return nil, false
	}
}

// unknown reports the keys of a table that are not among the known ones.
func (r *reader) unknown(path, name string, content map[string]any, known []string) {
	for key := range content {
		if !slices.Contains(known, key) {
			r.report(join(path, key), join(name, printable(key)), "unknown key; remove it or use one of %s", strings.Join(known, ", "))
		}
	}
}

// keys reads the keys of one table of the documentation.
func (r *reader) keys(path, name, table string, content map[string]any, scope settings.Target) {
	for _, key := range settings.Keys() {
		if key.Table != table {
			continue
		}
		value, ok := content[key.Name]
		if !ok && key.Required() {
			r.report(join(path, key.Name), join(name, key.Name), "is missing; add %s (%s)", key.Name, settings.Bounds(key.Kind))
			continue
		}
		if !ok && key.Default == "" {
			continue
		}
		if !ok {
			value = key.Default
		}
		if message := assign(key, scope, value); message != "" {
			r.report(join(path, key.Name), join(name, key.Name), "%s", message)
		}
	}
}

func names(table string) []string {
	var names []string
	for _, key := range settings.Keys() {
		if key.Table == table {
			names = append(names, key.Name)
		}
	}
	return names
}

// accountName returns the name of an account in errors, counted from 1.
func accountName(i int) string { return fmt.Sprintf("%s[%d]", settings.AccountsTable, i+1) }

// printable returns a key that fits on one line.
func printable(key string) string {
	const limit = 40
	if quoted := strconv.Quote(key); quoted != `"`+key+`"` || key == "" {
		key = quoted
	}
	if len(key) > limit {
		key = strings.ToValidUTF8(key[:limit], "") + "..."
	}
	return key
}
