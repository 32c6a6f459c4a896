package rtlimit

import (
	"math"
	"strconv"
)

// Rate is a limit in requests per second.
type Rate float64

// Unlimited is the rate without a limit.
var Unlimited = Rate(math.Inf(1))

// String returns the rate as a decimal number, or "none" for Unlimited.
func (r Rate) String() string {
	if r == Unlimited {
		return "none"
	}
	return strconv.FormatFloat(float64(r), 'f', -1, 64)
}
