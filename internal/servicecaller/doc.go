// Package servicecaller calls operations of plain services.
//
// A call is sent at most once: each dispatch has a connection of its own, its
// body can't be rewound, redirects are not followed and HTTP/2 is off, so that
// net/http has no way to send it again. An error says whether the call
// certainly did not run; anything else is an unknown outcome.
package servicecaller
