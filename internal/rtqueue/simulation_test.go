package rtqueue

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// The simulated engine uses continuous batching: each step spends the prefill
// budget in the order in which the engine received the prompts, and each prompt
// that is prefilled completely gets one token.
const (
	simulatedStep    = 2 * time.Millisecond
	simulatedPrefill = rtid.Tokens(8192)
	simulatedMemory  = rtid.Tokens(400_000)
	simulatedSlots   = 64
	simulatedOutput  = 40
)

// firstComeFirstServed is the baseline policy.
type firstComeFirstServed struct {
	items   []Item
	running int
}

func (f *firstComeFirstServed) Push(added Item) bool {
	f.items = append(f.items, added)
	return true
}

func (f *firstComeFirstServed) Pop(_ time.Time, slots int, free rtid.Tokens) (Item, bool, []Item) {
	if len(f.items) == 0 || f.running >= slots || f.items[0].Memory > free {
		return Item{}, false, nil
	}
	next := f.items[0]
	f.items = f.items[1:]
	f.running++
	return next, true, nil
}

func (f *firstComeFirstServed) PrefillDone(rtid.Request)           {}
func (f *firstComeFirstServed) Finish(_ rtid.Request, _ time.Time) { f.running-- }

type queueUnderTest interface {
	Push(Item) bool
	Pop(time.Time, int, rtid.Tokens) (Item, bool, []Item)
	PrefillDone(rtid.Request)
	Finish(rtid.Request, time.Time)
}

type generation struct {
	Item
	prefill rtid.Tokens
	output  int
}

// simulatedArrivals returns short requests, with one long prompt in fifty on
// average. The parameter load is the rate of prompt tokens as a fraction of what
// the engine can prefill.
func simulatedArrivals(count int, load float64) []Item {
	random := rand.New(rand.NewPCG(1, 2))
	rate := float64(simulatedPrefill) / simulatedStep.Seconds() * load
	var items []Item
	var now time.Duration
	for i := range count {
		tokens := rtid.Tokens(1000 + random.IntN(3000))
		if random.IntN(50) == 0 {
			tokens = rtid.Tokens(100_000 + random.IntN(250_000))
		}
		now += time.Duration(float64(tokens) / rate * float64(time.Second) * random.ExpFloat64())
		organisation := rtid.Organisation(fmt.Sprint("o", random.IntN(10)))
		items = append(items, item(fmt.Sprint(i), organisation, tokens, now))
	}
	return items
}

// simulate returns the sorted slowdowns of each class: the time to the end of
// the answer divided by the time on an idle engine.
func simulate(q queueUnderTest, items []Item) map[rtid.Class][]float64 {
	slowdowns := map[rtid.Class][]float64{}
	free := simulatedMemory
	var running []*generation
	remaining := len(items)
	for now := start; remaining > 0; now = now.Add(simulatedStep) {
		for len(items) > 0 && !items[0].Arrived.After(now) {
			q.Push(items[0])
			items = items[1:]
		}
		for {
			next, ok, _ := q.Pop(now, simulatedSlots, free)
			if !ok {
				break
			}
			free -= next.Memory
			running = append(running, &generation{next, next.Tokens, simulatedOutput})
		}
		budget := simulatedPrefill
		running = slices.DeleteFunc(running, func(g *generation) bool {
			spent := min(budget, g.prefill)
			g.prefill -= spent
			budget -= spent
			if g.prefill > 0 {
				return false
			}
			q.PrefillDone(g.ID)
			g.output--
			if g.output > 0 {
				return false
			}
			q.Finish(g.ID, now)
			remaining--
			free += g.Memory
			alone := simulatedStep * time.Duration(int(g.Tokens/simulatedPrefill)+simulatedOutput)
			slowdowns[g.Class] = append(slowdowns[g.Class], float64(now.Add(simulatedStep).Sub(g.Arrived))/float64(alone))
			return true
		})
	}
	for _, values := range slowdowns {
		slices.Sort(values)
	}
	return slowdowns
}

func percentile(sorted []float64, fraction float64) float64 {
	return sorted[int(fraction*float64(len(sorted)-1))]
}

// Guards against scheduling that is worse for short requests than first come
// first served, or that more than doubles the slowdown of long ones compared
// with it.
func TestShortBesideLong(t *testing.T) {
	for _, load := range []float64{0.5, 0.8, 0.95, 1.2} {
		items := simulatedArrivals(5000, load)
		baseline := simulate(&firstComeFirstServed{}, items)
		queued := simulate(New(Limits{MaxWaiting: 1 << 20, MaxBytes: 1 << 30, MaxLongPrefill: simulatedMemory / 2}), items)
		for _, class := range []rtid.Class{rtid.ClassShort, rtid.ClassLong} {
			t.Logf("load %.2f %-5v slowdown p50 p95 p99: first come first served %6.1f %6.1f %6.1f, queue %6.1f %6.1f %6.1f", load, class,
				percentile(baseline[class], 0.5), percentile(baseline[class], 0.95), percentile(baseline[class], 0.99),
				percentile(queued[class], 0.5), percentile(queued[class], 0.95), percentile(queued[class], 0.99))
		}
		if percentile(queued[rtid.ClassShort], 0.95) > percentile(baseline[rtid.ClassShort], 0.95) {
			t.Errorf("load %.2f: 95th percentile slowdown of short requests is higher than with first come first served", load)
		}
		if percentile(queued[rtid.ClassLong], 0.95) > 2*percentile(baseline[rtid.ClassLong], 0.95) {
			t.Errorf("load %.2f: 95th percentile slowdown of long requests is over twice that of first come first served", load)
		}
	}
}
