package rtagent

import (
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// state returns the agent's section of the dump.
func (a *Agent) state() any {
	incarnation := a.node.Incarnation()
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	return struct {
		Incarnation   rtid.Incarnation `json:"incarnation"`
		Epoch         rtid.Epoch       `json:"epoch"`
		Ready         bool             `json:"ready"`
		Draining      bool             `json:"leaving"`
		TargetDown    bool             `json:"down"`
		WarmUpLimit   int              `json:"limit"`
		WarmUpResets  uint64           `json:"falls"`
		Waiting       int              `json:"waiting"`
		Running       int              `json:"running"`
		Queued        rtid.Tokens      `json:"queued"`
		Prefill       rtid.Tokens      `json:"prefill"`
		Rate          float64          `json:"rate"`
		Used          rtid.Tokens      `json:"used"`
		Total         rtid.Tokens      `json:"total"`
		LedgerRecords int              `json:"records"`
		Requests      []requestState   `json:"requests"`
	}{
		Incarnation:   incarnation,
		Epoch:         a.ledger.Epoch(now),
		Ready:         a.ready,
		Draining:      a.draining,
		TargetDown:    a.targetDown,
		WarmUpLimit:   a.warmUp.Current(),
		WarmUpResets:  a.warmUp.Resets(),
		Waiting:       a.queue.Waiting(),
		Running:       a.queue.Running(),
		Queued:        a.queue.WaitingTokens(),
		Prefill:       a.queue.PrefillBacklog(),
		Rate:          a.speed.predictedRate(now),
		Used:          a.memory.Used(),
		Total:         a.memory.Total(),
		LedgerRecords: a.ledger.Len(),
		Requests:      a.requestStates(now),
	}
}

// requestState describes one request in the dump. It holds no prompts, bodies or
// answers.
type requestState struct {
	ID        rtid.Request `json:"id"`
	State     string       `json:"state"`
	Class     string       `json:"class"`
	Age       string       `json:"age"`
	Remaining string       `json:"remaining"`
	Size      rtid.Bytes   `json:"size"` // of the answer
}

func (a *Agent) requestStates(now time.Time) []requestState {
	states := make([]requestState, 0, len(a.requests))
	for id, r := range a.requests {
		record, _ := a.ledger.Lookup(id)
		states = append(states, requestState{
			ID:        id,
			State:     record.State.String(),
			Class:     r.item.Class.String(),
			Age:       now.Sub(r.item.Arrived).String(),
			Remaining: r.item.Deadline.Sub(now).String(),
			Size:      r.buffer.Size(),
		})
	}
	return states
}
