package rtagent

import (
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// state is the agent's part of the dump.
func (a *Agent) state() any {
	incarnation := a.node.Incarnation()
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	return struct {
		Incarnation rtid.Incarnation `json:"incarnation"`
		Epoch       rtid.Epoch       `json:"epoch"`
		Ready       bool             `json:"ready"`
		Leaving     bool             `json:"leaving"`
		Down        bool             `json:"down"`
		Limit       int              `json:"limit"`
		Falls       uint64           `json:"falls"`
		Waiting     int              `json:"waiting"`
		Running     int              `json:"running"`
		Queued      rtid.Tokens      `json:"queued"`
		Prefill     rtid.Tokens      `json:"prefill"`
		Rate        float64          `json:"rate"`
		Used        rtid.Tokens      `json:"used"`
		Total       rtid.Tokens      `json:"total"`
		Records     int              `json:"records"`
		Requests    []requestState   `json:"requests"`
	}{
		Incarnation: incarnation,
		Epoch:       a.ledger.Epoch(now),
		Ready:       a.ready,
		Leaving:     a.leaving,
		Down:        a.down,
		Limit:       a.warm.Current(),
		Falls:       a.warm.Resets(),
		Waiting:     a.queue.Waiting(),
		Running:     a.queue.Running(),
		Queued:      a.queue.WaitingTokens(),
		Prefill:     a.queue.PrefillBacklog(),
		Rate:        a.pace.rateAt(now),
		Used:        a.memory.Used(),
		Total:       a.memory.Total(),
		Records:     a.ledger.Len(),
		Requests:    a.requestStates(now),
	}
}

// requestState is one line of the dump. It holds no text of callers.
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
