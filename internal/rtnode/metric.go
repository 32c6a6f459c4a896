package rtnode

import "github.com/uber-go/tally/v4"

// counters are the metrics of a node.
type counters struct {
	platformCalls   tally.Counter // read and watch calls to the platform
	helloSent       tally.Counter
	helloServed     tally.Counter
	callsFailed     tally.Counter // control calls to peers
	malformed       tally.Counter // dropped statuses, documents and members of lists
	superseded      tally.Counter // statuses that rtmember.Table refused: of a replaced process, or over its bound
	documentsPulled tally.Counter
	rostersPulled   tally.Counter
	conflicts       tally.Gauge // total since the start of the process, as the next two
	reverted        tally.Gauge // documents not applied because their version is below the one in force
	refused         tally.Gauge
	version         tally.Gauge
}

func newCounters(scope tally.Scope) counters {
	control := scope.SubScope("control")
	return counters{
		platformCalls:   control.Counter("platform_calls"),
		helloSent:       control.Counter("hello_sent"),
		helloServed:     control.Counter("hello_served"),
		callsFailed:     control.Counter("calls_failed"),
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
