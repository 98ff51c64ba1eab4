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

// assign validates a value and stores it. It returns the cause of an error and
// its remedy, or an empty string.
func assign(key settings.Key, target settings.Target, value any) string {
	if kind, ok := key.Kind.(settings.Integer); ok {
		return assignInteger(kind, target, value)
	}
	if kind, ok := key.Kind.(settings.Fraction); ok {
		return assignFraction(kind, target, value)
	}
	if text, ok := value.(string); ok {
		return assignText(key, target, text)
	}
	if _, ok := key.Kind.(settings.Duration); ok && isNumber(value) {
		return fmt.Sprintf(`the number has no unit; write a string with a unit, such as "%v%s"`, value, likelyUnit(value))
	}
	return fmt.Sprintf("is not a string; write it in quotes (%s)", settings.Bounds(key.Kind))
}

func assignText(key settings.Key, target settings.Target, text string) string {
	switch kind := key.Kind.(type) {
	case settings.Name:
		if len(text) > settings.MaxNameLength || !namePattern.MatchString(text) {
			return fmt.Sprintf("is not a valid name; use 1 to %d letters, digits, dots, underscores and hyphens, starting with a letter or a digit", settings.MaxNameLength)
		}
		kind.Set(target, text)
	case settings.Address:
		return assignAddress(kind, target, text)
	case settings.Duration:
		return assignDuration(kind, target, text)
	case settings.Choice:
		if !slices.Contains(kind.Values, text) {
			return "is not a known choice; use one of " + strings.Join(kind.Values, ", ")
		}
		kind.Set(target, text)
	case settings.Credential:
		if len(text) < kind.MinLength || len(text) > kind.MaxLength || !secretPattern.MatchString(text) {
			return fmt.Sprintf("is not a valid secret (value not shown); use %s", settings.Bounds(kind))
		}
		kind.Set(target, settings.Secret(text))
	default:
		panic(fmt.Sprintf("unknown kind %T", key.Kind))
	}
	return ""
}

func assignInteger(kind settings.Integer, target settings.Target, value any) string {
	number, ok := value.(int64)
	if !ok {
		return fmt.Sprintf("is not an integer; write a number without quotes (%s)", settings.Bounds(kind))
	}
	if number < kind.Min || number > kind.Max {
		return fmt.Sprintf("%d is out of range; use %s", number, settings.Bounds(kind))
	}
	kind.Set(target, number)
	return ""
}

func assignFraction(kind settings.Fraction, target settings.Target, value any) string {
	number, ok := value.(float64)
	if whole, isWhole := value.(int64); isWhole {
		number, ok = float64(whole), true
	}
	switch {
	case !ok:
		return fmt.Sprintf("is not a number; write one without quotes (%s)", settings.Bounds(kind))
	// The negated comparison also refuses a value that is not a number.
	case !(number >= kind.Min && number <= kind.Max):
		return fmt.Sprintf("%v is out of range; use %s", number, settings.Bounds(kind))
	}
	kind.Set(target, number)
	return ""
}

func assignAddress(kind settings.Address, target settings.Target, text string) string {
	address, err := netip.ParseAddrPort(text)
	switch {
	case err != nil:
		host, _, splitErr := net.SplitHostPort(text)
		if _, err := netip.ParseAddr(host); splitErr == nil && err != nil {
			return "the host is not an IP address; replace the host name with one, as in 127.0.0.1:8400"
		}
		return "is not an IP address and a port; write them as 127.0.0.1:8400 or [::1]:8400"
	case address.Addr().IsUnspecified() || address.Addr().IsMulticast() || address.Addr().Zone() != "":
		return "is not an address that others can connect to; use one IP address of this VM"
	}
	kind.Set(target, netip.AddrPortFrom(address.Addr().Unmap(), address.Port()))
	return ""
}

func assignDuration(kind settings.Duration, target settings.Target, text string) string {
	d, err := time.ParseDuration(text)
	switch {
	case err != nil:
		return `is not a duration; write a number with the unit ms, s, m or h, such as "250ms"`
	case d < kind.Min || d > kind.Max:
		return fmt.Sprintf("%s is out of range; use %s", settings.FormatDuration(d), settings.Bounds(kind))
	case kind.Step > 0 && d%kind.Step != 0:
		return fmt.Sprintf("%s is not a multiple of %s; use %s", settings.FormatDuration(d), settings.FormatDuration(kind.Step), settings.Bounds(kind))
	}
	kind.Set(target, d)
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

// likelyUnit returns the unit for the example in a message. Integers from 100 are
// probably milliseconds.
func likelyUnit(value any) string {
	if n, ok := value.(int64); ok && n >= 100 {
		return "ms"
	}
	return "s"
}
