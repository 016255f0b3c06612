package forwarder

import (
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/streamer"
	"github.com/papayapond/papayapond/pkg/route"
)

// sequence follows the ids of the events that a caller has of a stream, so that a
// target that goes on with it can't repeat or skip events, begin anew or put an
// error between them.
type sequence struct {
	last string // id of the last event, or ""
	// number is last as an integer, if isNumber.
	number   int64
	isNumber bool
	// step is the difference between each two ids so far, 0 if it isn't known and
	// -1 if it varies. Ids that start at 1 count the events.
	step int64
	// isShort is true if the last step was shorter, as the last one of a stream may
	// be.
	isShort bool
	// open is true if the last event has content and no id, so that no target can
	// be told to go on after it.
	open bool

	events    int // with an id
	continued int // events with an id of the current target
	// isContinuation is true if the current target was told to go on after last.
	isContinuation bool
}

// beginSequence prepares for the events of another target.
func (x *exchange) beginSequence() {
	last := ""
	if x.route.Kind == route.Stream && x.route.Resume {
		last = x.r.Header.Get(lastEventHeader)
	}
	x.sequence.begin(last)
}

// begin prepares for the events of another target. The caller itself may have asked
// to go on after an event.
func (s *sequence) begin(callersLast string) {
	if s.last == "" && s.events == 0 && callersLast != "0" {
		s.last = callersLast
		s.number, s.isNumber = parseID(callersLast)
	}
	s.isContinuation, s.continued = s.last != "", 0
}

// add checks and records an event. It returns an error if the event can't be the
// next one.
func (s *sequence) add(event *streamer.Reader) error {
	if !event.HasContent() {
		return nil
	}
	if !event.HasID() {
		if s.isContinuation && s.continued == 0 {
			return eris.Wrapf(fault.Malformed, "event without an id, want the one after %s", s.last)
		}
		s.open = true
		return nil
	}
	id := event.LastEventID()
	number, isNumber := parseID(id)
	if s.isContinuation {
		if err := s.checkNext(id, number, isNumber); err != nil {
			return err
		}
	}
	s.updateStep(number, isNumber)
	s.last, s.number, s.isNumber, s.open = id, number, isNumber, false
	s.events++
	s.continued++
	return nil
}

// checkNext checks the id of an event of a continuation.
func (s *sequence) checkNext(id string, number int64, isNumber bool) error {
	switch {
	case id == s.last, s.isNumber && isNumber && number <= s.number:
		return eris.Wrapf(fault.Malformed, "event %s after %s is repeated", id, s.last)
	case s.isNumber != isNumber:
		return eris.Wrapf(fault.Malformed, "event %s can't follow %s", id, s.last)
	case s.isNumber && s.step > 0 && !s.isShort && number > s.number+s.step:
		return eris.Wrapf(fault.Malformed, "event %s after %s skips events", id, s.last)
	}
	return nil
}

// updateStep updates the step with the id of the next event.
func (s *sequence) updateStep(number int64, isNumber bool) {
	difference := number - s.number
	switch {
	case !isNumber || s.isShort:
		s.step = -1
	case s.last == "":
		if number == 1 {
			s.step = 1
		}
	case s.step == 0:
		s.step = difference
	case s.step > 0 && difference < s.step:
		s.isShort = true
	case difference > s.step:
		s.step = -1
	}
}

// parseID parses the id of an event as a non-negative integer.
func parseID(id string) (int64, bool) {
	n, err := strconv.ParseInt(id, 10, 64)
	return n, err == nil && n >= 0
}

// canContinue reports whether another target may go on with the response. Once
// events were relayed, only a stream that may be resumed goes on, and only after an
// event with an id.
func (x *exchange) canContinue() bool {
	return !x.headerSent || x.route.Kind == route.Stream && x.route.Resume && !x.sequence.open
}
