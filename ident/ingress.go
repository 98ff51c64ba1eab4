package ident

type (
	// RequestID identifies one attempt of a client to send a request. Every
	// attempt has a new id.
	RequestID string
	// RouteID identifies a route of the deployment's configuration.
	RouteID string
	// SessionID identifies a session of a program, a sequence of turns: that of the
	// program itself or of a sub-agent.
	SessionID string
	// PartID identifies a part of a prompt that other prompts may share.
	PartID string
	// Fingerprint identifies the target of a request, or its target and body. A client
	// that repeats a request sends it with another id and the same fingerprints.
	Fingerprint string
	// EventID numbers the events of a stream in increasing order.
	EventID int64
)
