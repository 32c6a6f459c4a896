package rtfake

import (
	"net/http"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rttarget"
)

// fence rejects calls with a fencing number below the highest one received.
type fence struct {
	enabled bool
	highest rtid.Incarnation
}

// check returns the conflict reply to a call with a lower number, or nil if
// the call may take effect.
func (f *fence) check(number rtid.Incarnation) *reply {
	if !f.enabled {
		return nil
	}
	if number < f.highest {
		return &reply{http.StatusConflict, rttarget.Conflict{Fence: f.highest}}
	}
	f.highest = number
	return nil
}
