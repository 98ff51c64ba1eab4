// Package servicecaller calls operations of services.
//
// A call is sent at most once. Each dispatch opens its own connection, its body
// can't be rewound, redirects are not followed and HTTP/2 is disabled, so that
// net/http can't resend the request. An error states either that the call did
// not run or that its outcome is unknown.
package servicecaller
