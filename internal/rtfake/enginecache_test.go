package rtfake

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
	"github.com/rhubarbtally/rhubarbtally/internal/rttarget"
)

// passesToFirstToken returns how many passes run until the first token of a
// prompt.
func passesToFirstToken(t *testing.T, client *rttarget.Engine, id rtid.Request, prompt string) int {
	t.Helper()
	begin := time.Now()
	wantAnswer(t, startStream(t, client, request(id, prompt, 1)), Answer([]byte(prompt), 1))
	return int(time.Since(begin) / (2 * time.Millisecond))
}

// Guards against a prefix cache that does not save prefill, or that grows over
// its limit.
func TestEngineCache(t *testing.T) {
	config := EngineConfig{Warm: true, PrefillPerPass: 100, CacheSize: 2500, EventDelay: time.Second, EventLossInterval: 3}
	engineBubble(t, config, func(t *testing.T, _ *Engine, client *rttarget.Engine) {
		long := func(letter string) string { return strings.Repeat(letter, 4*1000) }
		runs := []struct {
			id     rtid.Request
			prompt string
			want   int
		}{
			{"first", long("x"), 10},
			{"known", long("x"), 1},
			{"longer", long("x") + strings.Repeat("z", 4*200), 2},
			{"other", long("y"), 10},
			{"evicts x", strings.Repeat("v", 4*500), 5},
			{"evicted", long("x"), 10},
		}
		for _, run := range runs {
			if got := passesToFirstToken(t, client, run.id, run.prompt); got != run.want {
				t.Errorf("%s: first token after %d passes, want %d", run.id, got, run.want)
			}
		}
		if events, err := client.Events(t.Context(), 0); err != nil || len(events) != 0 {
			t.Errorf("got events %v, error %v before the event delay, want none", events, err)
		}
		<-time.After(time.Second)
		events, err := client.Events(t.Context(), 1)
		// All events: stored x, y, v, evicted x, stored x, evicted y. Events 3 and
		// 6 are lost.
		want := []rttarget.CacheEvent{
			{Sequence: 2, Prefix: prefixOf([]byte(long("y"))), Stored: true},
			{Sequence: 4, Prefix: prefixOf([]byte(long("x"))), Stored: false},
			{Sequence: 5, Prefix: prefixOf([]byte(long("x"))), Stored: true},
		}
		if err != nil || len(events) != 3 || events[0] != want[0] || events[1] != want[1] || events[2] != want[2] {
			t.Errorf("got events %v, error %v, want %v", events, err, want)
		}
	})
}

// Guards against a load report that does not lag, and against a report with an
// outdated start or fencing number.
func TestEngineLoadLags(t *testing.T) {
	config := EngineConfig{Fencing: true, LoadLag: time.Second}
	engineBubble(t, config, func(t *testing.T, engine *Engine, client *rttarget.Engine) {
		<-time.After(time.Minute)
		generate := request("a", "prompt", 10_000)
		generate.Fence = 7
		_ = startStream(t, client, generate).Close()
		for _, running := range []int{0, 1} {
			load, err := client.Load(t.Context())
			if err != nil || load.Running != running || load.StartID != engine.Stats().StartID || load.Fence != 7 {
				t.Errorf("got %+v, error %v, want %d running and fence 7", load, err, running)
			}
			<-time.After(time.Second)
		}
		generate.ID, generate.Fence = "b", 6
		_, err := client.Generate(t.Context(), generate)
		wantStatus(t, err, http.StatusConflict)
		wantStatus(t, client.Hold(t.Context(), rttarget.HoldRequest{ID: "b", Fence: 6}), http.StatusConflict)
		wantStatus(t, client.Command(t.Context(), rttarget.Command{Fence: 6}), http.StatusConflict)
	})
}

// Guards against exports whose memory is not counted, and against imports that
// save no prefill.
func TestEngineExport(t *testing.T) {
	bubble(t, func(t *testing.T, network *Network) {
		engine := runEngine(t, network, EngineConfig{Warm: true, PrefillPerPass: 100})
		transport := rtnet.Client(network.Host(hostA))
		client := rttarget.NewEngine(transport, portB)
		prompt := strings.Repeat("x", 4*1000)
		_ = startStream(t, client, request("a", prompt, 10_000)).Close()
		exported := post(t, transport, "/export/a", "")
		if err := client.Cancel(t.Context(), "a"); err != nil {
			t.Fatal(err)
		}
		if got := engine.Stats().UsedMemory; got != 1000 {
			t.Errorf("export uses %d tokens, want 1000", got)
		}
		if err := client.DeleteExport(t.Context(), "a"); err != nil || engine.Stats().UsedMemory != 0 {
			t.Errorf("got error %v and %d tokens used after the export was deleted, want none and 0", err, engine.Stats().UsedMemory)
		}
		engine.Crash()
		post(t, transport, "/import", exported)
		var export Export
		if err := json.Unmarshal([]byte(exported), &export); err != nil {
			t.Fatal(err)
		}
		begin := engine.Stats().Passes
		wantAnswer(t, startStream(t, client, request("b", string(export.Prompt), 1)), Answer(export.Prompt, 1))
		if got := engine.Stats().Passes - begin; got != 1 {
			t.Errorf("first token after %d passes, want 1 after the import", got)
		}
	})
}

func post(t *testing.T, client *http.Client, path, body string) string {
	t.Helper()
	response, err := client.Post("http://"+string(portB)+path, "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("%s: status %d, %v: %s", path, response.StatusCode, err, answer)
	}
	return string(answer)
}

// Guards against engines that serve a model before it is loaded, that are warm
// after a load, or that ignore the rate limit of the weight store.
func TestEngineLoadsModel(t *testing.T) {
	bubble(t, func(t *testing.T, network *Network) {
		const storeAddress = rtid.Address("10.0.0.9:80")
		store := &WeightStore{MaxReadRate: 1e-3}
		serveAt(t, network, storeAddress, store)
		transport := rtnet.Client(network.Host(hostA))
		engine := runEngine(t, network, EngineConfig{
			Model:         "old",
			Warm:          true,
			ModelLoadTime: time.Minute,
			ReadWeights:   WeightReader(rtnet.Client(network.Host(hostB)), storeAddress),
		})
		client := rttarget.NewEngine(transport, portB)
		generate := request("a", "prompt", 1)
		generate.Model = "new"
		_, err := client.Generate(t.Context(), generate)
		wantStatus(t, err, http.StatusNotFound)
		time.AfterFunc(time.Second, func() {
			_, err := client.Generate(t.Context(), generate)
			wantStatus(t, err, http.StatusServiceUnavailable)
		})
		begin := time.Now()
		if err := client.Command(t.Context(), rttarget.Command{Model: "new"}); err != nil || time.Since(begin) != time.Minute {
			t.Errorf("got error %v after %v, want the model loaded after 1m0s", err, time.Since(begin))
		}
		wantAnswer(t, startStream(t, client, generate), Answer([]byte("prompt"), 1))
		if !engine.Stats().Cold {
			t.Error("engine is warm after a model was loaded")
		}
		for range weightReadBurst - 1 {
			if err := client.Command(t.Context(), rttarget.Command{Model: "new"}); err != nil {
				t.Fatal(err)
			}
		}
		wantStatus(t, client.Command(t.Context(), rttarget.Command{Model: "new"}), http.StatusServiceUnavailable)
		if got := len(engine.Commands()); got != weightReadBurst {
			t.Errorf("%d commands took effect, want %d", got, weightReadBurst)
		}
		if served, refused := store.Reads("new"); served != weightReadBurst || refused != 1 {
			t.Errorf("%d reads served and %d refused, want %d and 1", served, refused, weightReadBurst)
		}
	})
}
