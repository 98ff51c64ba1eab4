package enginecaller

import (
	"encoding/json"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const endMarker = "[DONE]"

// event is a decoded event of a completion stream.
type event struct {
	text  string
	usage *record.Usage
	done  bool
}

// decodeEvent decodes the data of an event and checks that it belongs to the
// request with the given id.
func decodeEvent(id RequestID, data string) (event, error) {
	if data == endMarker {
		return event{done: true}, nil
	}
	var body struct {
		ID      RequestID `json:"id"`
		Choices []struct {
			Index int    `json:"index"`
			Text  string `json:"text"`
		} `json:"choices"`
		Usage *struct {
			Prompt     unit.Tokens `json:"prompt_tokens"`
			Completion unit.Tokens `json:"completion_tokens"`
			Details    struct {
				Cached unit.Tokens `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	if err := json.Unmarshal([]byte(data), &body); err != nil {
		return event{}, errors.Annotate(Malformed, err.Error())
	}
	if body.ID != id {
		return event{}, errors.Trace(Crossed)
	}
	if len(body.Choices) > 1 || (len(body.Choices) == 1 && body.Choices[0].Index != 0) {
		return event{}, errors.Annotate(Malformed, "more than one choice")
	}
	var e event
	if len(body.Choices) == 1 {
		e.text = body.Choices[0].Text
	}
	if u := body.Usage; u != nil {
		if u.Prompt < 0 || u.Completion < 0 || u.Details.Cached < 0 {
			return event{}, errors.Annotate(Malformed, "negative usage")
		}
		e.usage = &record.Usage{Calls: 1, PromptTokens: u.Prompt, CachedTokens: u.Details.Cached, OutputTokens: u.Completion}
	}
	return e, nil
}
