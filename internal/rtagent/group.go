package rtagent

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnode"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

const (
	// groupLease is how long members hold memory without a renewal.
	groupLease = 2 * time.Second
	// renewInterval lets two renewals in a row be lost.
	renewInterval = groupLease / 4
	// memberTimeout bounds one call to a member.
	memberTimeout = groupLease / 4
	// gatherTimeout ends a try while the first member's lease is still good.
	gatherTimeout = groupLease / 2
	// shortestBackoff is longer than it takes to ask the members of a zone, so
	// that one of two leaders in each other's way is done before the next try.
	shortestBackoff = 50 * time.Millisecond
	longestBackoff  = 2 * time.Second
)

// enginesFor returns the fewest engines like this one that hold tokens.
func (a *Agent) enginesFor(tokens rtid.Tokens) int {
	total := a.memory.Total()
	if total == 0 || tokens <= total {
		return 1
	}
	return int((tokens + total - 1) / total)
}

// planGroup shares a prompt larger than this engine out evenly, so that each
// member keeps as much memory as possible for its own work.
func (a *Agent) planGroup(r *request) {
	engines := a.enginesFor(r.item.Memory)
	if engines == 1 {
		return
	}
	r.members = engines - 1
	even := (r.item.Memory + rtid.Tokens(engines) - 1) / rtid.Tokens(engines)
	// The answer is always held here.
	local := max(even, r.output)
	r.share = (r.item.Memory - local + rtid.Tokens(r.members) - 1) / rtid.Tokens(r.members)
	r.item.Memory = local
}

// candidates returns the other engines of this zone, in ascending order of
// target.
func (a *Agent) candidates() []rtnode.AgentView {
	var chosen []rtnode.AgentView
	for _, view := range a.node.AgentsOf(a.settings.Service) {
		if view.Zone == a.settings.Zone && view.Target != a.settings.Target && !view.Draining {
			chosen = append(chosen, view)
		}
	}
	return chosen
}

// group is the members of one try.
type group struct {
	members []rtwire.Target // hold memory
	unsure  []rtwire.Target // gave no reply and may hold memory
	began   time.Time
}

// executeGroup reserves memory at the members, all or nothing, and runs the
// request. Without all members it frees everything and tries again later, so
// that two leaders never wait for each other.
func (a *Agent) executeGroup(ctx context.Context, r *request) {
	gathered := a.gather(ctx, r)
	defer a.release(ctx, r, gathered)
	switch {
	case ctx.Err() != nil:
		a.endRun(r, notRun(reasonOf(ctx), context.Cause(ctx).Error()))
		return
	case len(gathered.members) < r.members:
		a.postponeGroup(r)
		return
	}
	running, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	keepers := a.renewAll(running, r, gathered, stop)
	a.regained(r)
	a.execute(running, r)
	stop(nil)
	for _, keeper := range keepers {
		a.reportTask(keeper.Stop())
	}
}

// gather asks the candidates in order until there are enough members. One
// that gives no reply is left out of the next try.
func (a *Agent) gather(ctx context.Context, r *request) *group {
	gathered := &group{began: time.Now()}
	ctx, cancel := context.WithDeadline(ctx, gathered.began.Add(gatherTimeout))
	defer cancel()
	skipped := r.silent
	r.silent = make(map[rtid.Target]bool)
	for _, view := range a.candidates() {
		if len(gathered.members) == r.members || ctx.Err() != nil {
			break
		}
		if skipped[view.Target] {
			continue
		}
		member := rtwire.NewTargetProtobufClient("http://"+string(view.Address), a.client)
		granted, err := a.reserve(ctx, member, r, r.share)
		switch {
		case granted:
			gathered.members = append(gathered.members, member)
		case err != nil:
			a.log.Info("Member does not answer.", "member", view.Target, "error", err.Error())
			r.silent[view.Target] = true
			gathered.unsure = append(gathered.unsure, member)
		}
	}
	return gathered
}

// reserve asks a member for memory, or to renew what it holds with 0 tokens.
func (a *Agent) reserve(ctx context.Context, member rtwire.Target, r *request, tokens rtid.Tokens) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	reply, err := member.Reserve(ctx, &rtwire.ReserveRequest{
		Group:  string(r.item.ID),
		Tokens: int64(tokens),
		Lease:  durationpb.New(groupLease),
		Leader: string(a.settings.Target),
	})
	return err == nil && reply.Granted, err
}

// renewAll keeps the leases of all members. It stops the run when one is lost.
func (a *Agent) renewAll(ctx context.Context, r *request, gathered *group, stop context.CancelCauseFunc) []*rttask.Task {
	var keepers []*rttask.Task
	for _, member := range gathered.members {
		keepers = append(keepers, rttask.Start(ctx, "renew", func(ctx context.Context) error {
			if err := a.renew(ctx, member, r, gathered.began.Add(groupLease)); err != nil {
				stop(err)
			}
			return nil
		}))
	}
	return keepers
}

// renew returns an error when the member may not hold the memory any more.
// The lease is good until valid, later counted from before each renewal.
func (a *Agent) renew(ctx context.Context, member rtwire.Target, r *request, valid time.Time) error {
	for sleep(ctx, renewInterval) {
		asked := time.Now()
		granted, err := a.reserve(ctx, member, r, 0)
		switch {
		case granted:
			valid = asked.Add(groupLease)
		case ctx.Err() != nil:
			return nil
		case err == nil:
			return fmt.Errorf("%w: the lease is not renewed", errLease)
		case time.Now().After(valid):
			return errors.Join(errLease, err)
		}
	}
	return nil
}

// release frees the memory at the members. What cannot be released ends with
// its lease.
func (a *Agent) release(ctx context.Context, r *request, gathered *group) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), memberTimeout)
	defer cancel()
	for _, member := range append(gathered.members, gathered.unsure...) {
		if _, err := member.Release(ctx, &rtwire.ReleaseRequest{Group: string(r.item.ID)}); err != nil {
			a.log.Info("Release failed, the lease ends instead.", "group", r.item.ID, "error", err.Error())
		}
	}
}

// regained lets the time count from the end of the reservation, which several
// calls may have delayed, unless the process was paused meanwhile.
func (a *Agent) regained(r *request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.pause.resumed.After(r.popped) {
		r.popped = time.Now()
	}
}

// postponeGroup frees what a request holds here until its next try.
func (a *Agent) postponeGroup(r *request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.queue.Finish(r.item.ID, now)
	a.memory.Release(r.item.ID)
	r.cancel = nil
	r.gather++
	r.retry = now.Add(backoff(r.item.ID, r.gather))
	a.groupRetries[r.item.ID] = r
	a.signal()
}

// backoff grows with each try and differs between requests, so that two
// leaders in each other's way part.
func backoff(id rtid.Request, try int) time.Duration {
	longest := min(shortestBackoff<<min(try, 10), longestBackoff)
	spread := xxhash.Sum64String(fmt.Sprint(id, try)) % uint64(longest)
	return shortestBackoff + time.Duration(spread)
}

// requeueGroups puts requests back into the queue whose next try is due. The caller
// holds a.mu.
func (a *Agent) requeueGroups(now time.Time) {
	for id, r := range a.groupRetries {
		switch {
		case r.settled:
			delete(a.groupRetries, id)
		case !now.Before(r.item.Deadline):
			a.abandon(r, rtwire.Reason_REASON_DEADLINE, "the time limit passed before enough engines had memory")
			delete(a.groupRetries, id)
		case !now.Before(r.retry) && a.queue.Push(r.item):
			delete(a.groupRetries, id)
		}
	}
}
