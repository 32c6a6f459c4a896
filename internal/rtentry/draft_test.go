package rtentry

import (
	"testing"

	"github.com/rhubarbtally/rhubarbtally/pkg/rtapi"
)

// Guards against an answer that loses text on its way, with characters that
// cross a frame border.
func TestDraft(t *testing.T) {
	agent := &fakeAgent{name: "engine-1", text: "wöörtlich – ganz"}
	run(t, func(f *fixture) {
		text, starts, end := answerOf(t, f.draft("30s"))
		if text != agent.text || starts != 1 || end.Outcome != rtapi.Done {
			t.Errorf("got %q with %d starts and %+v, want %q", text, starts, end, agent.text)
		}
	}, agent)
}
