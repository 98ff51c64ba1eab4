package loader

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/settings"
)

// reader collects the settings and the problems of one file.
type reader struct {
	file     string
	lines    positions
	settings *settings.Settings
	problems Problems
	// failed has the paths with a problem. Rules between keys are not checked for
	// them.
	failed map[string]bool
}

// report adds a problem at the line of a path. The name is the key that the
// message shows.
func (r *reader) report(path, name, format string, args ...any) {
	r.failed[path] = true
	r.problems = append(r.problems, Problem{File: r.file, Line: r.lines.line(path), Key: name, Message: fmt.Sprintf(format, args...)})
}

// readDocument reads all tables. A missing table is treated as an empty one, so
// that its required keys are reported.
func (r *reader) readDocument(rootTable map[string]any) {
	tables := []string{}
	for _, key := range settings.Keys() {
		if !slices.Contains(tables, key.Table) {
			tables = append(tables, key.Table)
		}
	}
	r.reportUnknown("", "", rootTable, slices.Concat(keyNames(""), tables[1:]))
	target := settings.Target{Settings: r.settings}
	r.readKeys("", "", "", rootTable, target)
	for _, table := range tables[1:] {
		value, ok := rootTable[table]
		switch table {
		case settings.AccountsTable:
			r.readAccounts(value, ok)
			continue
		case settings.RegionsTable:
			r.readRegions(value, ok)
			continue
		}
		content, isTable := value.(map[string]any)
		if ok && !isTable {
			r.report(table, table, "is not a table; write [%s]", table)
			r.failed[table] = true
			continue
		}
		r.reportUnknown(table, table, content, keyNames(table))
		r.readKeys(table, table, table, content, target)
	}
}

func (r *reader) readAccounts(value any, ok bool) {
	const table = settings.AccountsTable
	elements, isArray := tableElements(value)
	if ok && !isArray {
		r.report(table, table, "is not an array of tables; write [[%s]] above each account", table)
		return
	}
	r.settings.Accounts = make([]settings.Account, len(elements))
	for i, element := range elements {
		path, name := join(table, strconv.Itoa(i)), accountName(i)
		r.reportUnknown(path, name, element, keyNames(table))
		r.readKeys(path, name, table, element, settings.Target{Settings: r.settings, Account: &r.settings.Accounts[i]})
	}
}

// readRegions reads the table whose keys are failure domains.
func (r *reader) readRegions(value any, ok bool) {
	const table = settings.RegionsTable
	content, isTable := value.(map[string]any)
	if ok && !isTable {
		r.report(table, table, "is not a table; write [%s]", table)
		return
	}
	r.settings.Regions = map[ident.Domain]ident.Region{}
	for _, key := range settings.Keys() {
		if key.Table != table {
			continue
		}
		for domain, region := range content {
			target := settings.Target{Settings: r.settings, FailureDomain: ident.Domain(domain)}
			if message := assign(key, target, region); message != "" {
				r.report(join(table, domain), join(table, printableKey(domain)), "%s", message)
			}
		}
	}
}

// tableElements returns the elements of an array of tables. The library decodes
// inline tables as []any.
func tableElements(value any) ([]map[string]any, bool) {
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

// reportUnknown reports the keys of a table that are not known.
func (r *reader) reportUnknown(path, name string, content map[string]any, known []string) {
	for key := range content {
		if !slices.Contains(known, key) {
			r.report(join(path, key), join(name, printableKey(key)), "unknown key; remove it or use one of %s", strings.Join(known, ", "))
		}
	}
}

// readKeys reads the keys of a table and applies defaults. The table is the one in
// settings.Keys; path and name are those of the content in the file.
func (r *reader) readKeys(path, name, table string, content map[string]any, target settings.Target) {
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
		if message := assign(key, target, value); message != "" {
			r.report(join(path, key.Name), join(name, key.Name), "%s", message)
		}
	}
}

func keyNames(table string) []string {
	var allNames []string
	for _, key := range settings.Keys() {
		if key.Table == table {
			allNames = append(allNames, key.Name)
		}
	}
	return allNames
}

// accountName returns the name of an account in errors, numbered from 1.
func accountName(i int) string { return fmt.Sprintf("%s[%d]", settings.AccountsTable, i+1) }

// printableKey returns a key for use in a message of one line: quoted if it has
// unprintable characters, and truncated if it is long.
func printableKey(key string) string {
	const limit = 40
	if quoted := strconv.Quote(key); quoted != `"`+key+`"` || key == "" {
		key = quoted
	}
	if len(key) > limit {
		key = strings.ToValidUTF8(key[:limit], "") + "..."
	}
	return key
}
