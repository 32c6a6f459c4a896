// Package rtmember computes from the list of VMs and from heartbeats which
// agents an entry exchanges heartbeats with, which of them are alive, and
// which processes read the platform. It uses no sockets and no clock: time is
// a parameter.
package rtmember

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplatform"
)

// score returns the weight of a pair of names in rendezvous hashing, given
// their hashes. The mixing function is the finalizer of splitmix64.
func score(a, b uint64) uint64 {
	x := a ^ bits.RotateLeft64(b, 32)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func hashVM(vm rtid.VM) uint64 { return xxhash.Sum64String(string(vm)) }

// ranked is a VM with its score in one ranking.
type ranked struct {
	member *rtplatform.Member
	score  uint64
}

// compareRanked orders by score, highest first. It orders equal scores by name,
// so that the order is the same in every process.
func compareRanked(a, b ranked) int {
	if a.score != b.score {
		return cmp.Compare(b.score, a.score)
	}
	return cmp.Compare(a.member.VM, b.member.VM)
}

// insertTop inserts next into kept, which is sorted by compareRanked, and drops
// what exceeds count.
func insertTop(kept []ranked, next ranked, count int) []ranked {
	if count == 0 {
		return kept
	}
	if len(kept) == count {
		if compareRanked(next, kept[count-1]) > 0 {
			return kept
		}
		kept = kept[:count-1]
	}
	at, _ := slices.BinarySearchFunc(kept, next, compareRanked)
	return slices.Insert(kept, at, next)
}
