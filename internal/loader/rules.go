package loader

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/settings"
)

// checkRules checks the rules that involve several keys.
func (r *reader) checkRules() {
	s := r.settings
	r.checkInterfaces()
	r.checkBelow("freshness.interval", s.Freshness.Interval, "freshness.configuration", s.Freshness.Configuration)
	r.checkBelow("freshness.interval", s.Freshness.Interval, "freshness.upstreams", s.Freshness.Upstreams)
	r.checkAtMost("limits.first_byte", s.Limits.FirstByte, "limits.call_time", s.Limits.CallTime)
	r.checkAtMost("limits.between_bytes", s.Limits.BetweenBytes, "limits.call_time", s.Limits.CallTime)
	r.checkAtMost("limits.queue_wait", s.Limits.QueueWait, "limits.call_time", s.Limits.CallTime)
	r.checkUnique()
}

// checkInterfaces checks that at least one interface is served, and that the keys
// that it requires are present.
func (r *reader) checkInterfaces() {
	s := r.settings
	if r.valid("caller_address", "ingress.requests") && !s.CallerAddress.IsValid() && !s.Ingress.Requests.IsValid() {
		r.report("caller_address", "caller_address", "both this and ingress.requests are missing, so no interface would be served; add one of them")
	}
	if r.valid("caller_address", settings.AccountsTable) && s.CallerAddress.IsValid() && len(s.Accounts) == 0 {
		r.report(settings.AccountsTable, settings.AccountsTable,
			"no account is defined, so all requests at caller_address would be refused; add a table [[%s]]", settings.AccountsTable)
	}
	if !s.Ingress.Requests.IsValid() {
		return
	}
	for path, address := range map[string]netip.AddrPort{
		"ingress.readiness": s.Ingress.Readiness, "ingress.directory": s.Ingress.Directory, "peer_address": s.PeerAddress,
	} {
		if r.valid(path) && !address.IsValid() {
			r.report(path, path, "is missing, but required with ingress.requests; add it")
		}
	}
}

// checkUnique checks that ids and tokens of accounts are unique.
func (r *reader) checkUnique() {
	ids := map[ident.AccountID]int{}
	tokens := map[settings.Secret]int{}
	for i, account := range r.settings.Accounts {
		path := join(settings.AccountsTable, strconv.Itoa(i))
		if id := join(path, "id"); r.valid(id) {
			if first, ok := ids[account.ID]; ok {
				r.report(id, join(accountName(i), "id"), "duplicate of %s on line %d; use another id", accountName(first), r.accountLine(first, "id"))
			} else {
				ids[account.ID] = i
			}
		}
		if token := join(path, "token"); r.valid(token) {
			if first, ok := tokens[account.Token]; ok {
				r.report(token, join(accountName(i), "token"), "duplicate of %s on line %d; use another token", accountName(first), r.accountLine(first, "token"))
			} else {
				tokens[account.Token] = i
			}
		}
	}
}

func (r *reader) accountLine(i int, key string) int {
	return r.lines.line(join(join(settings.AccountsTable, strconv.Itoa(i)), key))
}

// valid reports whether neither the keys nor their tables have problems.
func (r *reader) valid(paths ...string) bool {
	for _, path := range paths {
		if r.failed[path] || r.failed[parent(path)] {
			return false
		}
	}
	return true
}

func (r *reader) checkBelow(low string, lowValue time.Duration, high string, highValue time.Duration) {
	if r.valid(low, high) && lowValue >= highValue {
		r.report(low, low, "%s is not below %s, which is %s; shorten it or lengthen %s",
			settings.FormatDuration(lowValue), high, settings.FormatDuration(highValue), high)
	}
}

func (r *reader) checkAtMost(low string, lowValue time.Duration, high string, highValue time.Duration) {
	if r.valid(low, high) && lowValue > highValue {
		r.report(low, low, "%s is above %s, which is %s; shorten it or lengthen %s",
			settings.FormatDuration(lowValue), high, settings.FormatDuration(highValue), high)
	}
}
