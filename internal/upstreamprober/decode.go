package upstreamprober

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/servicecaller"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// answer is a complete answer of an upstream.
type answer struct {
	status int
	body   []byte
}

func (a answer) requireStatus(status int) error {
	if a.status != status {
		return errors.Errorf("unexpected status %d, want %d", a.status, status)
	}
	return nil
}

func (a answer) decode(body any) error {
	if err := a.requireStatus(http.StatusOK); err != nil {
		return err
	}
	if err := json.Unmarshal(a.body, body); err != nil {
		return errors.Annotate(servicecaller.Malformed, err.Error())
	}
	return nil
}

// decodeLoad requires all keys. If a missing key counted as 0, the upstream would
// look idle and attract all work.
func decodeLoad(a answer) (message.UpstreamReported, error) {
	var body struct {
		Running       *int         `json:"running"`
		Waiting       *int         `json:"waiting"`
		WaitingTokens *unit.Tokens `json:"waiting_tokens"`
		Leaving       *bool        `json:"leaving"`
	}
	if err := a.decode(&body); err != nil {
		return message.UpstreamReported{}, err
	}
	if body.Running == nil || body.Waiting == nil || body.WaitingTokens == nil || body.Leaving == nil {
		return message.UpstreamReported{}, errors.Annotate(servicecaller.Malformed, "load with missing keys")
	}
	if *body.Running < 0 || *body.Waiting < 0 || *body.WaitingTokens < 0 {
		return message.UpstreamReported{}, errors.Annotate(servicecaller.Malformed, "negative load")
	}
	return message.UpstreamReported{
		Running: *body.Running, Waiting: *body.Waiting, WaitingTokens: *body.WaitingTokens, Leaving: *body.Leaving,
	}, nil
}

// decodeCache marks the list as complete only if it is present and valid, because
// programs that are missing from a complete list count as released.
func decodeCache(a answer) (message.CacheRead, error) {
	var body struct {
		Programs *[]struct {
			Program ident.ProgramID `json:"program"`
			Tokens  unit.Tokens     `json:"tokens"`
		} `json:"programs"`
	}
	if err := a.decode(&body); err != nil {
		return message.CacheRead{}, err
	}
	if body.Programs == nil {
		return message.CacheRead{}, errors.Annotate(servicecaller.Malformed, "cache without programs")
	}
	cachedTokens := make(map[ident.ProgramID]unit.Tokens, len(*body.Programs))
	for _, p := range *body.Programs {
		if p.Program == "" || p.Tokens < 0 {
			return message.CacheRead{}, errors.Annotatef(servicecaller.Malformed, "program %q with %d tokens", p.Program, p.Tokens)
		}
		cachedTokens[p.Program] = p.Tokens
	}
	return message.CacheRead{Complete: true, CachedTokens: cachedTokens}, nil
}

func encodeRelease(e effect.Release) []byte {
	// Marshalling a string and a number can't fail.
	body, _ := json.Marshal(struct {
		Program ident.ProgramID `json:"program"`
		Epoch   ident.Epoch     `json:"epoch"`
	}{e.Program, e.Epoch})
	return body
}

func encodeOrder(o configuration.Order) []byte {
	// Marshalling strings and a number can't fail.
	body, _ := json.Marshal(struct {
		Kind  configuration.OrderKind `json:"kind"`
		Name  string                  `json:"name"`
		Epoch ident.Epoch             `json:"epoch"`
	}{o.Kind, o.Name, o.Epoch})
	return body
}

// decodeResult accepts the result of any attempt of the call up to the requested
// one, because the service reports the attempt that ran.
func decodeResult(a answer, e effect.LookUp) (servicecaller.Reply, error) {
	if a.status != http.StatusUnprocessableEntity {
		if err := a.requireStatus(http.StatusOK); err != nil {
			return servicecaller.Reply{}, err
		}
	}
	reply, err := servicecaller.ReadReply(bytes.NewReader(a.body), unit.Bytes(len(a.body)))
	if err != nil {
		return servicecaller.Reply{}, err
	}
	if reply.Program != e.Program || reply.Call != e.Call || reply.Attempt < 1 || reply.Attempt > e.Attempt {
		return servicecaller.Reply{}, servicecaller.Crossed
	}
	return reply, nil
}
