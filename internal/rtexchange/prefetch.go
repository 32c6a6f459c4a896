package rtexchange

import "errors"

// maxAhead limits the events that PrefetchEvent keeps. Only comments come before an event
// with fields.
const maxAhead = 16

// errOnlyComments means that a stream has begun with comments only.
var errOnlyComments = errors.New("stream has begun with comments only")

// readAhead is what was read of a body before its reader asked for it.
type readAhead struct {
	events []Event // that NextEvent returns first
	body   []byte  // that ReadAll returns, if whole is set
	whole  bool
	err    error // that follows the events or the body
}

// PrefetchEvent reads the first event of a stream, which NextEvent returns later. It
// returns once a whole event that is not a comment has been received, or an error if
// there is none.
func (r *Response) PrefetchEvent(budget *Budget) error {
	for len(r.ahead.events) < maxAhead {
		event, err := r.readEvent(budget)
		if err != nil {
			r.ahead.err = err
			return err
		}
		r.ahead.events = append(r.ahead.events, event)
		if !event.Comment {
			return nil
		}
	}
	return errOnlyComments
}

// PrefetchBody reads the whole body, which ReadAll returns later.
func (r *Response) PrefetchBody(limit int64, budget *Budget) error {
	r.ahead.body, r.ahead.err = r.readAll(limit, budget)
	r.ahead.whole = true
	return r.ahead.err
}

// NextEvent returns the next complete event. It returns io.EOF if the stream
// ended after a complete event, and ErrTruncated if it ended inside one. Empty
// lines alone are no event, except at the end of the stream. It fails if the
// budget, which may be nil, does not allow for the event.
func (r *Response) NextEvent(budget *Budget) (Event, error) {
	if len(r.ahead.events) > 0 {
		event := r.ahead.events[0]
		r.ahead.events = r.ahead.events[1:]
		return event, nil
	}
	if r.ahead.err != nil {
		return Event{}, r.ahead.err
	}
	return r.readEvent(budget)
}

// ReadAll reads the body to its end. It fails if the body is longer than limit
// bytes, or if the budget, which may be nil, does not allow for it.
func (r *Response) ReadAll(limit int64, budget *Budget) ([]byte, error) {
	if r.ahead.whole {
		return r.ahead.body, r.ahead.err
	}
	return r.readAll(limit, budget)
}
