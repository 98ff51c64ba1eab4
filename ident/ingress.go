package ident

type (
	// RequestID names one attempt of a client to have a request served. Every
	// attempt has its own.
	RequestID string
	// RouteID names a route of the deployment's configuration.
	RouteID string
	// LineID names one line of turns of a program: the program's own line or
	// that of a sub-agent.
	LineID string
	// PartID names a part of a prompt that other prompts may share.
	PartID string
	// EventID numbers the events of a stream in increasing order.
	EventID int64
)
