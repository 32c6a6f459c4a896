package rtfake

import (
	"net/http"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rttarget"
)

// fence rejects calls with a fencing number below the highest one seen.
type fence struct {
	enabled bool
	highest rtid.Incarnation
}

// check returns the answer to a call with an old number, or nil if the call
// may have an effect.
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
