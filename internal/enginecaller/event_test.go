package enginecaller

import "testing"

// FuzzDecode guards against a panic on malformed events, and against accepting an
// event of another request or a negative usage.
func FuzzDecode(f *testing.F) {
	f.Add(`{"id":"r1","choices":[{"index":0,"text":"a "}],"usage":{"completion_tokens":1}}`)
	f.Add(`{"id":"r2"}`)
	f.Add(`[DONE]`)
	f.Fuzz(func(t *testing.T, data string) {
		e, err := decodeEvent("r1", data)
		if err == nil && e.usage != nil && (e.usage.OutputTokens < 0 || e.usage.PromptTokens < 0) {
			t.Fatalf("negative usage accepted from %q", data)
		}
		if err != nil && (e.text != "" || e.done) {
			t.Fatalf("event returned with the error %v", err)
		}
	})
}
