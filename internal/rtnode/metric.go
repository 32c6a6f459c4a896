package rtnode

import "github.com/uber-go/tally/v4"

// counters are the metrics of a node.
type counters struct {
	platformCalls   tally.Counter // reads and watches of the platform
	sent            tally.Counter // Hello
	served          tally.Counter // Hello
	unanswered      tally.Counter // control calls that failed
	malformed       tally.Counter // statuses and lists that were dropped
	superseded      tally.Counter // statuses of an incarnation that has a successor
	documentsPulled tally.Counter
	rostersPulled   tally.Counter
	conflicts       tally.Gauge // since the start of the process, as the next two
	reverted        tally.Gauge // documents offered with a version below the one in force
	refused         tally.Gauge
	version         tally.Gauge
}

func newCounters(scope tally.Scope) counters {
	control := scope.SubScope("control")
	return counters{
		platformCalls:   control.Counter("platform_calls"),
		sent:            control.Counter("hello_sent"),
		served:          control.Counter("hello_served"),
		unanswered:      control.Counter("calls_failed"),
		malformed:       control.Counter("messages_malformed"),
		superseded:      control.Counter("status_superseded"),
		documentsPulled: control.Counter("documents_pulled"),
		rostersPulled:   control.Counter("lists_pulled"),
		conflicts:       control.Gauge("configuration_conflicts"),
		reverted:        control.Gauge("configuration_reverted"),
		refused:         control.Gauge("configuration_refused"),
		version:         control.Gauge("configuration_version"),
	}
}
