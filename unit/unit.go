package unit

type (
	// Tokens counts model tokens.
	Tokens int64
	// Calls counts calls.
	Calls int64
	// Bytes counts bytes.
	Bytes int64
	// Ratio is a share between 0 and 1, or a weight.
	Ratio float64
)
