package design

import (
	. "goa.design/goa/v3/dsl"
)

// Patterns of the identifiers in requests.
const (
	rootPattern    = `^[a-z0-9][a-z0-9-]{2,63}$`
	programPattern = `^[a-z0-9][a-z0-9-]{2,63}(\.[0-9]{1,4})*$`
	childPattern   = `^[a-z0-9][a-z0-9-]{2,63}(\.[0-9]{1,4})+$`
	callPattern    = `^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`
	planPattern    = `^[A-Za-z0-9-]{1,64}$`
)

var _ = API("sassafrasspur", func() {
	Title("Scheduler for agent programs")
	HTTP(func() {
		Path("/v1")
	})
})

// bearer is the credential of callers and operators. The filter of package
// identifier maps it to an account.
var bearer = JWTSecurity("bearer", func() {
	Description("Authorization: Bearer TOKEN")
})

// problem is the body of the response to each refused or failed request.
var problem = Type("Problem", func() {
	// All services share one Go type.
	Meta("struct:pkg:path", "problem")
	ErrorName("status", String, "Group of the error; it follows from the HTTP status")
	Attribute("kind", String, "Kind of the error; stable", func() { Example("budget_exhausted") })
	Attribute("message", String, "What happened and what to do about it")
	Attribute("not_run", Boolean, "True only if the call did not run and never will")
	Attribute("retry_after_ms", Int64, "Delay before a repeat makes sense; 0 if a repeat alone does not help")
	Attribute("retry_after", Int64, "Seconds for the Retry-After header")
	Required("status", "kind", "message", "not_run", "retry_after_ms")
})

var statuses = []struct {
	name string
	code int
}{
	{"invalid", StatusBadRequest},
	{"unauthorized", StatusUnauthorized},
	{"forbidden", StatusForbidden},
	{"not_found", StatusNotFound},
	{"conflict", StatusConflict},
	{"limited", StatusTooManyRequests},
	{"internal", StatusInternalServerError},
	{"unavailable", StatusServiceUnavailable},
}

// common declares the credential and the errors of a service.
func common() {
	Security(bearer)
	for _, s := range statuses {
		Error(s.name, problem)
	}
	HTTP(func() {
		for _, s := range statuses {
			Response(s.name, s.code, func() {
				Header("retry_after:Retry-After")
			})
		}
	})
}

// token adds the credential to a payload. It is not required, so that a request
// without it is answered with status 401 and a remedy instead of status 400.
func token() {
	Token("token", String, "Credential of the account")
}
