// Package rtmemory tracks the reservations of KV memory at one engine. It has no
// clock of its own and is not safe for concurrent use.
package rtmemory

import (
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// reservation is memory of one request, until it is released or expires.
type reservation struct {
	tokens rtid.Tokens
	expiry time.Time
	group  bool // part of a group reservation; valid until its lease expires
}

// Account holds the reservations of one engine.
type Account struct {
	total        rtid.Tokens
	used         rtid.Tokens // sum of all reservations, at most total
	reservations map[rtid.Request]reservation
}

// New returns an account without reservations.
func New(total rtid.Tokens) *Account {
	return &Account{total: total, reservations: make(map[rtid.Request]reservation)}
}

// Total returns the KV memory of the engine.
func (a *Account) Total() rtid.Tokens { return a.total }

// Used returns the reserved memory.
func (a *Account) Used() rtid.Tokens { return a.used }

// Free returns the memory that is not reserved.
func (a *Account) Free() rtid.Tokens { return a.total - a.used }

// Reserve reserves memory for a request until expiry. If the request has a
// reservation already, it gets the new amount and expiry. Without enough free
// memory, Reserve changes nothing and returns false.
func (a *Account) Reserve(id rtid.Request, tokens rtid.Tokens, expiry time.Time) bool {
	return a.reserve(id, reservation{tokens: tokens, expiry: expiry})
}

// ReserveGroup reserves memory for a part of a group until now + lease.
// Otherwise it behaves like Reserve.
func (a *Account) ReserveGroup(group rtid.Request, tokens rtid.Tokens, lease time.Duration, now time.Time) bool {
	return a.reserve(group, reservation{tokens: tokens, expiry: now.Add(lease), group: true})
}

// RenewGroup extends the lease of a group until now + lease. It returns false
// if the group has no valid lease, because its memory may have been reserved
// for others meanwhile.
func (a *Account) RenewGroup(group rtid.Request, lease time.Duration, now time.Time) bool {
	existing, ok := a.reservations[group]
	if !ok || !existing.group || !now.Before(existing.expiry) {
		return false
	}
	existing.expiry = now.Add(lease)
	a.reservations[group] = existing
	return true
}

func (a *Account) reserve(id rtid.Request, requested reservation) bool {
	existing := a.reservations[id]
	if requested.tokens < 0 || requested.tokens > a.Free()+existing.tokens {
		return false
	}
	a.used += requested.tokens - existing.tokens
	a.reservations[id] = requested
	return true
}

// IsReserved reports whether a request has a reservation.
func (a *Account) IsReserved(id rtid.Request) bool {
	_, ok := a.reservations[id]
	return ok
}

// Release frees the reservation of a request. It returns false if there was
// none.
func (a *Account) Release(id rtid.Request) bool {
	existing, ok := a.reservations[id]
	if !ok {
		return false
	}
	a.used -= existing.tokens
	delete(a.reservations, id)
	return true
}

// Expire frees the expired reservations. It returns the IDs of the groups among
// them, whose holds at the engine the caller must free.
func (a *Account) Expire(now time.Time) []rtid.Request {
	var groups []rtid.Request
	for id, existing := range a.reservations {
		if now.Before(existing.expiry) {
			continue
		}
		a.Release(id)
		if existing.group {
			groups = append(groups, id)
		}
	}
	return groups
}
