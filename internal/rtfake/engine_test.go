package rtfake

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
	"github.com/rhubarbtally/rhubarbtally/internal/rttarget"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
)

// engineBubble runs a test in virtual time with a fake engine and a client of
// it.
func engineBubble(t *testing.T, config EngineConfig, test func(t *testing.T, engine *Engine, client *rttarget.Engine)) {
	t.Helper()
	bubble(t, func(t *testing.T, network *Network) {
		engine := runEngine(t, network, config)
		test(t, engine, rttarget.NewEngine(rtnet.Client(network.Host(hostA)), portB))
	})
}

// runEngine serves an engine at host B until the test ends.
func runEngine(t *testing.T, network *Network, config EngineConfig) *Engine {
	t.Helper()
	engine := NewEngine(config)
	task := rttask.Start(t.Context(), "engine", engine.Run)
	t.Cleanup(func() {
		if err := task.Stop(); err != nil {
			t.Error(err)
		}
	})
	serveB(t, network, engine)
	return engine
}

func request(id rtid.Request, prompt string, output rtid.Tokens) rttarget.GenerateRequest {
	return rttarget.GenerateRequest{ID: id, Prompt: []byte(prompt), Output: output}
}

func startStream(t *testing.T, client *rttarget.Engine, request rttarget.GenerateRequest) *rttarget.Stream {
	t.Helper()
	stream, err := client.Generate(t.Context(), request)
	if err != nil {
		t.Fatal(err)
	}
	return stream
}

// collect reads a stream to its end.
func collect(stream *rttarget.Stream) (text string, last rttarget.Chunk, err error) {
	defer func() { _ = stream.Close() }()
	var builder strings.Builder
	for {
		chunk, err := stream.Next()
		if err != nil {
			return builder.String(), chunk, err
		}
		builder.WriteString(chunk.Text)
		if chunk.End != "" {
			return builder.String(), chunk, nil
		}
	}
}

// wantAnswer checks that a stream delivers the text and ends as done.
func wantAnswer(t *testing.T, stream *rttarget.Stream, text string) {
	t.Helper()
	got, last, err := collect(stream)
	if err != nil || got != text || last.End != rttarget.EndDone {
		t.Errorf("got %q, end %q, error %v, want %q", got, last.End, err, text)
	}
}

func wantStatus(t *testing.T, err error, status int) {
	t.Helper()
	var failure *rttarget.StatusError
	if !errors.As(err, &failure) || failure.Status != status {
		t.Errorf("got %v, want status %d", err, status)
	}
}

// Guards against answers that differ between generations of one prompt, and
// against continuations after a prefix that are not byte-identical.
func TestEngineContinuesAfterPrefix(t *testing.T) {
	engineBubble(t, EngineConfig{}, func(t *testing.T, engine *Engine, client *rttarget.Engine) {
		whole := Answer([]byte("prompt"), 20)
		wantAnswer(t, startStream(t, client, request("whole", "prompt", 20)), whole)
		for size := range len(whole) + 1 {
			resumed := request(rtid.Request(fmt.Sprint(size)), "prompt", 20)
			resumed.Prefix = []byte(whole[:size])
			wantAnswer(t, startStream(t, client, resumed), whole[size:])
		}
		wrong := request("wrong", "prompt", 20)
		wrong.Prefix = []byte("not the answer")
		_, err := client.Generate(t.Context(), wrong)
		wantStatus(t, err, http.StatusUnprocessableEntity)
		if used := engine.Stats().UsedMemory; used != 0 {
			t.Errorf("%d tokens of memory used after all streams ended, want 0", used)
		}
	})
}

// Guards against streams that end when the client disconnects, and against
// memory that stays in use after a cancel.
func TestEngineCancel(t *testing.T) {
	engineBubble(t, EngineConfig{}, func(t *testing.T, engine *Engine, client *rttarget.Engine) {
		stream := startStream(t, client, request("a", "prompt", 1000))
		_ = stream.Close()
		<-time.After(time.Second)
		if got := engine.Stats().Streams; got != 1 {
			t.Fatalf("%d live streams after the connection closed, want 1", got)
		}
		_, err := client.Generate(t.Context(), request("a", "prompt", 1000))
		wantStatus(t, err, http.StatusConflict)
		for range 2 {
			if err := client.Cancel(t.Context(), "a"); err != nil {
				t.Fatal(err)
			}
		}
		if stats := engine.Stats(); stats.Streams != 0 || stats.UsedMemory != 0 {
			t.Errorf("after cancel: %d streams, %d tokens used, want 0 and 0", stats.Streams, stats.UsedMemory)
		}
		if got := engine.Executions("a"); got != 1 {
			t.Errorf("%d executions, want 1", got)
		}
	})
}

// Guards against memory that is assigned twice or never freed.
func TestEngineMemoryFull(t *testing.T) {
	engineBubble(t, EngineConfig{Memory: 1000}, func(t *testing.T, engine *Engine, client *rttarget.Engine) {
		hold := rttarget.HoldRequest{ID: "hold", Tokens: 600}
		for range 2 {
			if err := client.Hold(t.Context(), hold); err != nil {
				t.Fatal(err)
			}
		}
		wide := request("wide", strings.Repeat("x", 4*300), 101)
		_, err := client.Generate(t.Context(), wide)
		wantStatus(t, err, http.StatusInsufficientStorage)
		wide.Remote = 1
		_ = startStream(t, client, wide).Close()
		if got := engine.Stats().UsedMemory; got != 1000 {
			t.Errorf("%d tokens used, want all 1000", got)
		}
		streams, err := client.Streams(t.Context())
		want := []rttarget.MemoryUse{{ID: "wide", Tokens: 400, Kind: "stream"}, {ID: "hold", Tokens: 600, Kind: "hold"}}
		if err != nil || len(streams) != 2 || streams[0] != want[0] || streams[1] != want[1] {
			t.Errorf("got %v, %v, want %v", streams, err, want)
		}
		if err := client.Unhold(t.Context(), "hold"); err != nil {
			t.Fatal(err)
		}
		if got := engine.Stats().UsedMemory; got != 400 {
			t.Errorf("%d tokens used after the reservation was released, want 400", got)
		}
	})
}

// Guards against a fake engine that sustains any load while cold.
func TestEngineColdFails(t *testing.T) {
	engineBubble(t, EngineConfig{ColdLimit: 2, WarmAfter: 2}, func(t *testing.T, engine *Engine, client *rttarget.Engine) {
		before := engine.Stats().StartID
		var streams []*rttarget.Stream
		for _, id := range []rtid.Request{"a", "b", "c"} {
			streams = append(streams, startStream(t, client, request(id, "prompt", 100)))
		}
		for _, stream := range streams {
			if _, last, err := collect(stream); err != nil || last.End != rttarget.EndFailed {
				t.Errorf("got end %q, error %v, want failed", last.End, err)
			}
		}
		stats := engine.Stats()
		if stats.LoadFailures != 1 || stats.PeakColdStreams != 3 || stats.StartID <= before || stats.UsedMemory != 0 {
			t.Errorf("got %+v, want one failure under load with 3 streams and a higher start id", stats)
		}
		for _, id := range []rtid.Request{"d", "e"} {
			wantAnswer(t, startStream(t, client, request(id, "prompt", 1)), Answer([]byte("prompt"), 1))
		}
		if engine.Stats().Cold {
			t.Error("engine is cold after 2 completed requests, want warm")
		}
		engine.TurnCold()
		begin := time.Now()
		wantAnswer(t, startStream(t, client, request("f", "prompt", 10)), Answer([]byte("prompt"), 10))
		if got := time.Since(begin); got != 10*4*2*time.Millisecond {
			t.Errorf("10 cold passes took %v, want 80ms", got)
		}
	})
}

// Guards against a prompt that is prefilled before one of higher priority, and
// against prefill beyond the budget of a pass.
func TestEnginePriority(t *testing.T) {
	config := EngineConfig{Warm: true, PrefillPerPass: 100, CacheSize: -1}
	engineBubble(t, config, func(t *testing.T, _ *Engine, client *rttarget.Engine) {
		begin := time.Now()
		long := request("long", strings.Repeat("x", 4*1000), 1)
		long.Priority = 1
		slow := startStream(t, client, long)
		urgent := startStream(t, client, request("urgent", strings.Repeat("y", 4*200), 1))
		wantAnswer(t, urgent, Answer([]byte(strings.Repeat("y", 4*200)), 1))
		if got := time.Since(begin); got != 2*2*time.Millisecond {
			t.Errorf("urgent prompt took %v, want 2 passes of 2ms", got)
		}
		wantAnswer(t, slow, Answer(long.Prompt, 1))
		if got := time.Since(begin); got != 12*2*time.Millisecond {
			t.Errorf("both prompts took %v, want 12 passes of 2ms", got)
		}
	})
}

// Guards against a crash that clients see as an ordinary end of the stream, and
// against a frozen engine that runs passes.
func TestEngineFaults(t *testing.T) {
	engineBubble(t, EngineConfig{}, func(t *testing.T, engine *Engine, client *rttarget.Engine) {
		stream := startStream(t, client, request("a", "prompt", 100))
		<-time.After(9 * time.Millisecond) // during the second pass
		engine.Freeze()
		passes := engine.Stats().Passes
		<-time.After(time.Minute)
		if got := engine.Stats().Passes; got != passes {
			t.Errorf("%d passes while frozen, want 0", got-passes)
		}
		engine.Thaw()
		before := engine.Stats().StartID
		engine.Crash()
		synctest.Wait()
		if _, _, err := collect(stream); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("got error %v, want an unexpected EOF", err)
		}
		if stats := engine.Stats(); stats.Streams != 0 || stats.StartID <= before {
			t.Errorf("got %+v, want a higher start id and no streams", stats)
		}
	})
}
