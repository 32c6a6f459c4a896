package rtmemory

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

var start = time.UnixMilli(1)

// Guards against reserving the same memory twice, and against growing a
// reservation beyond the free memory.
func TestReserve(t *testing.T) {
	tests := []struct {
		name   string
		id     rtid.Request
		tokens rtid.Tokens
		ok     bool
		used   rtid.Tokens
	}{
		{"first", "a", 60, true, 60},
		{"too much", "b", 41, false, 60},
		{"rest", "b", 40, true, 100},
		{"grow without room", "a", 61, false, 100},
		{"shrink", "a", 50, true, 90},
		{"grow into room", "b", 50, true, 100},
		{"negative", "c", -1, false, 100},
	}
	account := New(100)
	for _, test := range tests {
		ok := account.Reserve(test.id, test.tokens, start)
		if ok != test.ok || account.Used() != test.used {
			t.Errorf("%s: got %v with %d tokens used, want %v with %d", test.name, ok, account.Used(), test.ok, test.used)
		}
	}
}

// Guards against a group reservation that stays after its leader has stopped
// renewing the lease, and against one that expires although it was renewed.
func TestLease(t *testing.T) {
	account := New(100)
	account.ReserveGroup("group", 60, 2*time.Second, start)
	account.Reserve("request", 10, start.Add(time.Second))
	if !account.RenewGroup("group", 2*time.Second, start.Add(time.Second)) || account.RenewGroup("request", time.Hour, start) {
		t.Error("RenewGroup did not renew the group, or renewed a reservation that is not of a group")
	}
	if expired := account.Expire(start.Add(2 * time.Second)); len(expired) != 0 || account.Used() != 60 {
		t.Errorf("after 2 s: groups %v expired, %d tokens used, want no expired group and 60 tokens", expired, account.Used())
	}
	if account.RenewGroup("group", time.Second, start.Add(3*time.Second)) {
		t.Error("RenewGroup renewed a lease after its expiry")
	}
	expired := account.Expire(start.Add(3 * time.Second))
	if len(expired) != 1 || expired[0] != "group" || account.Used() != 0 {
		t.Errorf("after 3 s: groups %v expired, %d tokens used, want the group expired and 0 tokens", expired, account.Used())
	}
}

// Guards against a sum of used memory that differs from the reservations, and
// against reservations beyond the total.
func TestAccountAddsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		account := New(100)
		now := start
		for range 50 {
			id := rtid.Request(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "id")))
			tokens := rtid.Tokens(rapid.IntRange(0, 60).Draw(t, "tokens"))
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				account.Reserve(id, tokens, now.Add(time.Second))
			case 1:
				account.ReserveGroup(id, tokens, time.Second, now)
			case 2:
				account.Release(id)
			default:
				account.Expire(now)
			}
			sum := rtid.Tokens(0)
			for _, existing := range account.reservations {
				sum += existing.tokens
			}
			if sum != account.Used() || sum > account.Total() {
				t.Fatalf("%d tokens used, sum of the reservations is %d, want them equal and at most the total", account.Used(), sum)
			}
		}
	})
}

func BenchmarkReserveRelease(b *testing.B) {
	account := New(1 << 40)
	for i := range 1000 {
		account.Reserve(rtid.Request(fmt.Sprint(i)), 1, start)
	}
	b.ReportAllocs()
	for b.Loop() {
		account.Reserve("a", 1000, start)
		account.Release("a")
	}
}
