// Package prompter renders a program's history as the prompt of its next call.
package prompter

import (
	"strings"

	"github.com/sassafrasspur/sassafrasspur/internal/program"
)

// Prompter renders prompts. A prompt extends the one of the turn before, so
// that an engine that holds the program's prefix computes only what is new.
type Prompter struct{}

// Render returns the prompt of a call with a body after the turns of a history.
func (Prompter) Render(history []program.Turn, body string) string {
	var b strings.Builder
	for _, turn := range history {
		writeTurn(&b, turn.Body, turn.Answer.Body)
	}
	b.WriteString("user: ")
	b.WriteString(body)
	b.WriteString("\nassistant:")
	return b.String()
}

func writeTurn(b *strings.Builder, body, answer string) {
	b.WriteString("user: ")
	b.WriteString(body)
	b.WriteString("\nassistant: ")
	b.WriteString(answer)
	b.WriteString("\n")
}
