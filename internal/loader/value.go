package loader

import (
	"fmt"
	"net"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/settings"
)

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	secretPattern = regexp.MustCompile(`^[!-~]+$`)
)

// assign checks a value and stores it. It returns what is wrong and the remedy,
// or an empty text.
func assign(key settings.Key, scope settings.Target, value any) string {
	if kind, ok := key.Kind.(settings.Integer); ok {
		return assignInteger(kind, scope, value)
	}
	if text, ok := value.(string); ok {
		return assignText(key, scope, text)
	}
	if _, ok := key.Kind.(settings.Duration); ok && isNumber(value) {
		return fmt.Sprintf(`the number has no unit; write a text with a unit, such as "%v%s"`, value, likelyUnit(value))
	}
	return fmt.Sprintf("is no text; write a text in quotes (%s)", settings.Bounds(key.Kind))
}

func assignText(key settings.Key, scope settings.Target, text string) string {
	switch kind := key.Kind.(type) {
	case settings.Name:
		if len(text) > settings.MaxNameLength || !namePattern.MatchString(text) {
			return fmt.Sprintf("is no name; use 1 to %d letters, digits, dots, underscores and hyphens, first a letter or a digit", settings.MaxNameLength)
		}
		kind.Set(scope, text)
	case settings.Address:
		return assignAddress(kind, scope, text)
	case settings.Duration:
		return assignDuration(kind, scope, text)
	case settings.Choice:
		if !slices.Contains(kind.Values, text) {
			return "is no known choice; use one of " + strings.Join(kind.Values, ", ")
		}
		kind.Set(scope, text)
	case settings.Credential:
		if len(text) < kind.MinLength || len(text) > kind.MaxLength || !secretPattern.MatchString(text) {
			return fmt.Sprintf("does not fit (the value is not shown); use %s", settings.Bounds(kind))
		}
		kind.Set(scope, settings.Secret(text))
	default:
		panic(fmt.Sprintf("unknown kind %T", key.Kind))
	}
	return ""
}

func assignInteger(kind settings.Integer, scope settings.Target, value any) string {
	number, ok := value.(int64)
	if !ok {
		return fmt.Sprintf("is no whole number; write a number without quotes (%s)", settings.Bounds(kind))
	}
	if number < kind.Min || number > kind.Max {
		return fmt.Sprintf("%d is out of range; use %s", number, settings.Bounds(kind))
	}
	kind.Set(scope, number)
	return ""
}

func assignAddress(kind settings.Address, scope settings.Target, text string) string {
	address, err := netip.ParseAddrPort(text)
	switch {
	case err != nil:
		host, _, splitErr := net.SplitHostPort(text)
		if _, err := netip.ParseAddr(host); splitErr == nil && err != nil {
			return "the host is no IP number; replace the host name by an IP number, such as 127.0.0.1:8400"
		}
		return "is no IP number and port; write them as 127.0.0.1:8400 or [::1]:8400"
	case address.Addr().IsUnspecified() || address.Addr().IsMulticast() || address.Addr().Zone() != "":
		return "is no address that others can connect to; use one IP number of this VM"
	}
	kind.Set(scope, netip.AddrPortFrom(address.Addr().Unmap(), address.Port()))
	return ""
}

func assignDuration(kind settings.Duration, scope settings.Target, text string) string {
	d, err := time.ParseDuration(text)
	switch {
	case err != nil:
		return `is no duration; write a number with the unit ms, s, m or h, such as "250ms"`
	case d < kind.Min || d > kind.Max:
		return fmt.Sprintf("%s is out of range; use %s", settings.FormatDuration(d), settings.Bounds(kind))
	case kind.Step > 0 && d%kind.Step != 0:
		return fmt.Sprintf("%s is no multiple of %s; use %s", settings.FormatDuration(d), settings.FormatDuration(kind.Step), settings.Bounds(kind))
	}
	kind.Set(scope, d)
	return ""
}

func isNumber(value any) bool {
	switch value.(type) {
	case int64, float64:
		return true
	default:
		return false
	}
}

// likelyUnit returns the unit for the example: numbers from 100 are more often
// meant as milliseconds.
func likelyUnit(value any) string {
	if n, ok := value.(int64); ok && n >= 100 {
		return "ms"
	}
	return "s"
}
