package settings

import (
	"fmt"
	"strings"
	"time"
)

const documentHeader = `# Settings of sassafrasspurd

<!-- Generated from internal/settings/keys.go by: go test ./internal/settings -update -->

The daemon reads one TOML file. It serves the product's own interface, the users' interface, or both. Durations are texts with a unit, such as "250ms", "6s" or "1m30s". Addresses have an IP address and a port, never a host name. A name has up to %d letters, digits, dots, underscores and hyphens and begins with a letter or a digit. Unknown keys are errors. All errors of a file are reported in one run.
`

// Document returns the documentation of all keys in Markdown.
func Document() string {
	var b strings.Builder
	fmt.Fprintf(&b, documentHeader, MaxNameLength)
	table := "-"
	for _, key := range Keys() {
		if key.Table != table {
			table = key.Table
			fmt.Fprintf(&b, "\n## %s\n\n| key | unit | default | bounds | purpose |\n| --- | --- | --- | --- | --- |\n", tableHeading(table))
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", key.Name, key.Unit, defaultText(key), Bounds(key.Kind), key.Purpose)
	}
	return b.String()
}

func tableHeading(table string) string {
	switch table {
	case "":
		return "Top level"
	case AccountsTable:
		return "`[[" + table + "]]` (at least one with caller_address)"
	default:
		return "`[" + table + "]`"
	}
}

func defaultText(k Key) string {
	switch value := k.Default.(type) {
	case nil:
		return "required"
	case string:
		if value == "" {
			return "none"
		}
		return fmt.Sprintf("`%q`", value)
	default:
		return fmt.Sprintf("`%v`", value)
	}
}

// Bounds describes the values that a kind accepts.
func Bounds(kind Kind) string {
	switch k := kind.(type) {
	case Name:
		return fmt.Sprintf("1 to %d characters", MaxNameLength)
	case Address:
		return "one IP address; port 0 to 65535"
	case Duration:
		text := FormatDuration(k.Min) + " to " + FormatDuration(k.Max)
		if k.Step > 0 {
			text += " in steps of " + FormatDuration(k.Step)
		}
		return text
	case Integer:
		return fmt.Sprintf("%d to %d", k.Min, k.Max)
	case Fraction:
		return fmt.Sprintf("%v to %v", k.Min, k.Max)
	case Choice:
		return strings.Join(k.Values, ", ")
	case Credential:
		return fmt.Sprintf("%d to %d printable ASCII characters without spaces", k.MinLength, k.MaxLength)
	default:
		panic(fmt.Sprintf("unknown kind %T", kind))
	}
}

// FormatDuration formats a duration without trailing zero units, such as 1m
// instead of 1m0s.
func FormatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}
