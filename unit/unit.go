package unit

type (
	// Tokens is a number of model tokens.
	Tokens int64
	// Calls is a number of calls.
	Calls int64
	// Bytes is a size in bytes.
	Bytes int64
	// Rate is a number of requests per second.
	Rate float64
	// Ratio is a fraction between 0 and 1, or a relative weight.
	Ratio float64
)
