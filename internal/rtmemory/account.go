// Package rtmemory is the agent's account of the KV memory of one engine. It
// has no clock of its own and is not safe for concurrent use.
package rtmemory

import (
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// reservation is memory of one request until it is released or expires.
type reservation struct {
	tokens rtid.Tokens
	expiry time.Time
	group  bool // part of a group reservation, held by a lease
}

// Account holds the reservations of one engine.
type Account struct {
	total        rtid.Tokens
	used         rtid.Tokens // sum over reservations, at most total
	reservations map[rtid.Request]reservation
}

// New returns an empty account.
func New(total rtid.Tokens) *Account {
	return &Account{total: total, reservations: make(map[rtid.Request]reservation)}
}

// Total returns the memory of the engine.
func (a *Account) Total() rtid.Tokens { return a.total }

// Used returns the memory that is reserved.
func (a *Account) Used() rtid.Tokens { return a.used }

// Free returns the memory that can be reserved.
func (a *Account) Free() rtid.Tokens { return a.total - a.used }

// Reserve holds memory for a request until expiry. A request that holds
// memory already gets the new amount and expiry. Without enough memory it
// changes nothing and reports false.
func (a *Account) Reserve(id rtid.Request, tokens rtid.Tokens, expiry time.Time) bool {
	return a.reserve(id, reservation{tokens: tokens, expiry: expiry})
}

// Lease holds memory for a part of a group until now + lease.
func (a *Account) ReserveGroup(group rtid.Request, tokens rtid.Tokens, lease time.Duration, now time.Time) bool {
	return a.reserve(group, reservation{tokens: tokens, expiry: now.Add(lease), group: true})
}

// Renew extends the lease of a group. It reports false if the group holds
// nothing, because its memory may have been given to others meanwhile.
func (a *Account) RenewGroup(group rtid.Request, lease time.Duration, now time.Time) bool {
	held, ok := a.reservations[group]
	if !ok || !held.group || !now.Before(held.expiry) {
		return false
	}
	held.expiry = now.Add(lease)
	a.reservations[group] = held
	return true
}

func (a *Account) reserve(id rtid.Request, wanted reservation) bool {
	held := a.reservations[id]
	if wanted.tokens < 0 || wanted.tokens > a.Free()+held.tokens {
		return false
	}
	a.used += wanted.tokens - held.tokens
	a.reservations[id] = wanted
	return true
}

// Holds reports whether a request holds memory.
func (a *Account) IsReserved(id rtid.Request) bool {
	_, ok := a.reservations[id]
	return ok
}

// Release frees the memory of a request. It reports whether there was any.
func (a *Account) Release(id rtid.Request) bool {
	held, ok := a.reservations[id]
	if !ok {
		return false
	}
	a.used -= held.tokens
	delete(a.reservations, id)
	return true
}

// Expire frees what has expired and returns the groups among it, whose holds
// at the engine must be freed.
func (a *Account) Expire(now time.Time) []rtid.Request {
	var groups []rtid.Request
	for id, held := range a.reservations {
		if now.Before(held.expiry) {
			continue
		}
		a.Release(id)
		if held.group {
			groups = append(groups, id)
		}
	}
	return groups
}
