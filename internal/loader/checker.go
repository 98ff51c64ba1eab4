package loader

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/settings"
)

const (
	maxText = 256
	listTag = "[]."
)

// checker collects the settings and problems of one file.
type checker struct {
	file     string
	lines    map[string]int
	known    map[string]bool
	result   settings.Settings
	problems Problems
}

func (c *checker) report(key, remedy, format string, args ...any) {
	c.problems = append(c.problems, Problem{
		File: c.file, Line: c.line(key), Key: key, Message: fmt.Sprintf(format, args...), Remedy: remedy,
	})
}

// line returns the line of a key or of the nearest table around it.
func (c *checker) line(key string) int {
	for {
		if line, found := c.lines[key]; found {
			return line
		}
		cut := strings.LastIndexAny(key, ".[")
		if cut < 0 {
			return 1
		}
		key = key[:cut]
	}
}

// table checks the keys whose path starts with prefix. place is the prefix with
// the number of a list's element instead of [].
func (c *checker) table(prefix, place string, root map[string]any, keys []settings.Key) {
	for _, key := range keys {
		rest, found := strings.CutPrefix(key.Path, prefix)
		if !found || strings.Contains(rest, listTag) {
			continue
		}
		path := place + rest
		c.known[path] = true
		value, present := find(root, strings.Split(rest, "."))
		if present {
			c.value(path, key.Kind, value)
		} else {
			c.missing(path, key.Kind)
		}
	}
}

func (c *checker) accounts(list any, keys []settings.Key) {
	elements, valid := tables(list)
	if !valid || len(elements) == 0 {
		c.report(settings.AccountsKey, "add one [[accounts]] table for each account", "no accounts")
		return
	}
	for i, element := range elements {
		c.result.Accounts = append(c.result.Accounts, settings.Account{})
		c.table(settings.AccountsKey+listTag, fmt.Sprintf("%s[%d].", settings.AccountsKey, i), element, keys)
	}
}

// tables accepts both ways of TOML to write a list of tables.
func tables(list any) ([]map[string]any, bool) {
	switch list := list.(type) {
	case []map[string]any:
		return list, true
	case []any:
		var elements []map[string]any
		for _, item := range list {
			element, valid := item.(map[string]any)
			if !valid {
				return nil, false
			}
			elements = append(elements, element)
		}
		return elements, true
	}
	return nil, false
}

func find(root map[string]any, path []string) (any, bool) {
	value, present := root[path[0]]
	if !present || len(path) == 1 {
		return value, present
	}
	table, valid := value.(map[string]any)
	if !valid {
		return nil, false
	}
	return find(table, path[1:])
}

// unknown reports the keys of the file that are not in the table.
func (c *checker) unknown(key, path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		names := make([]string, 0, len(value))
		for name := range value {
			names = append(names, name)
		}
		sort.Strings(names)
		for _, name := range names {
			c.unknown(name, join(path, name), value[name])
		}
		return
	case []map[string]any, []any:
		if elements, valid := tables(value); valid && path == settings.AccountsKey {
			for i, element := range elements {
				c.unknown(key, fmt.Sprintf("%s[%d]", path, i), element)
			}
			return
		}
	}
	if !c.known[path] && path != settings.AccountsKey {
		c.report(path, "remove it or correct its name; docs/settings.md lists all keys", "unknown key")
	}
}

func (c *checker) missing(path string, kind settings.Kind) {
	switch kind := kind.(type) {
	case settings.Duration:
		kind.Set(&c.result, kind.Default)
	case settings.Integer:
		kind.Set(&c.result, kind.Default)
	case settings.Choice:
		kind.Set(&c.result, kind.Default)
	case settings.Text:
		c.report(path, "set it to a string", "missing")
	case settings.Address:
		c.report(path, `set it to an IP address and port, such as "127.0.0.1:9000"`, "missing")
	case settings.URL:
		c.report(path, `set it to a URL, such as "http://127.0.0.1:9000"`, "missing")
	}
}

func (c *checker) value(path string, kind settings.Kind, value any) {
	if kind, valid := kind.(settings.Integer); valid {
		number, valid := value.(int64)
		if !valid {
			c.report(path, "write a whole number without quotes", "not a number of %s", kind.Unit)
		} else if number < kind.Min || number > kind.Max {
			c.report(path, fmt.Sprintf("choose from %d to %d", kind.Min, kind.Max), "%d %s out of range", number, kind.Unit)
		} else {
			kind.Set(&c.result, number)
		}
		return
	}
	text, valid := value.(string)
	if !valid {
		if _, duration := kind.(settings.Duration); duration {
			c.report(path, `write a string with a unit, such as "250ms"`, "%v has no unit", value)
			return
		}
		c.report(path, "write it in quotes", "not a string")
		return
	}
	switch kind := kind.(type) {
	case settings.Text:
		c.text(path, kind, text)
	case settings.Choice:
		if !slices.Contains(kind.Values, text) {
			c.report(path, "choose from "+strings.Join(kind.Values, ", "), "%q is not a choice", text)
			return
		}
		kind.Set(&c.result, text)
	case settings.Duration:
		c.duration(path, kind, text)
	case settings.Address:
		c.address(path, kind, text)
	case settings.URL:
		c.url(path, kind, text)
	}
}

func (c *checker) text(path string, kind settings.Text, text string) {
	if len(text) < kind.Min || len(text) > maxText {
		c.report(path, fmt.Sprintf("use from %d to %d bytes", kind.Min, maxText), "has %d bytes", len(text))
		return
	}
	kind.Set(&c.result, text)
}

func (c *checker) duration(path string, kind settings.Duration, text string) {
	d, err := time.ParseDuration(text)
	if err != nil {
		c.report(path, `write a number with a unit, such as "250ms"`, "%q is not a duration", text)
		return
	}
	if d < kind.Min || d > kind.Max {
		c.report(path, fmt.Sprintf("choose from %v to %v", kind.Min, kind.Max), "%v out of range", d)
		return
	}
	kind.Set(&c.result, d)
}

func (c *checker) address(path string, kind settings.Address, text string) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		c.report(path, `write an IP address and port, such as "127.0.0.1:9000"; host names are not resolved`, "%q is not an IP address and port", text)
		return
	}
	if address.Addr().IsUnspecified() || address.Port() == 0 {
		c.report(path, "write the address that others use to reach this VM", "%q can't be reached from other VMs", text)
		return
	}
	kind.Set(&c.result, address)
}

func (c *checker) url(path string, kind settings.URL, text string) {
	const remedy = `write a URL with an IP address, such as "http://127.0.0.1:9000"; host names are not resolved`
	target, err := url.Parse(text)
	if err != nil || (target.Scheme != "http" && target.Scheme != "https") || target.User != nil {
		// The text is left out: it may have credentials in it.
		c.report(path, remedy, "not an http or https URL without credentials")
		return
	}
	if _, err := netip.ParseAddr(target.Hostname()); err != nil {
		c.report(path, remedy, "host %q is not an IP address", target.Hostname())
		return
	}
	kind.Set(&c.result, text)
}

// relations checks what depends on more than one key.
func (c *checker) relations() {
	s := &c.result
	if s.CallerAddress == s.PeerAddress {
		c.report("peer_address", "use another port", "same as caller_address")
	}
	if s.Cluster.Renewal > s.Cluster.Lease/2 {
		c.report("cluster.renewal", "use at most half of cluster.lease", "%v is too long for a lease of %v", s.Cluster.Renewal, s.Cluster.Lease)
	}
	if s.Cluster.BatchSpacing >= s.Cluster.Renewal {
		c.report("cluster.batch_spacing", "use less than cluster.renewal", "%v is not shorter than the renewal", s.Cluster.BatchSpacing)
	}
	tokens, ids := map[string]bool{}, map[string]bool{}
	for i, account := range s.Accounts {
		if tokens[account.Token] {
			c.report(fmt.Sprintf("accounts[%d].token", i), "give each account its own token", "used by another account")
		}
		if ids[string(account.Account.ID)] {
			c.report(fmt.Sprintf("accounts[%d].id", i), "give each account its own id", "used by another account")
		}
		tokens[account.Token], ids[string(account.Account.ID)] = true, true
	}
}
