package gateway

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/dispatcher"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	eventStream = "text/event-stream"
	dataPrefix  = "data: "
	doneEvent   = "[DONE]"
	// maxEvent bounds one event of a stream, in bytes.
	maxEvent = 1 << 20
	// settleTimeout bounds the time in which a bill must become durable.
	settleTimeout = 5 * time.Second
)

// usage is the usage that an engine reports, in tokens.
type usage struct {
	Prompt int64 `json:"prompt_tokens"`
	Output int64 `json:"completion_tokens"`
}

// relay passes the answer of an engine to the caller. It holds back the end
// of the answer until the bill is durable.
type relay struct {
	gateway    *Gateway
	session    *session
	completion *completion
	reserved   uint64
	begun      func() // tells admission of the first token

	usage  usage
	target string
	// attempt is the identity under which the request was sent to the target.
	attempt string
	// output counts the events with content that were relayed.
	output int64
	whole  []byte // the answer for the caller so far, if it is kept
	last   []byte // usage event or JSON body that is held back
	media  string
	status int
	latest time.Time
	event  []byte // buffer for one event
	known  pattern

	pending bool // events have been written and not flushed
	gone    bool // the caller has gone away
	// broken is the error of the connection to the caller, if it ends the
	// request.
	broken error
}

// consume reads the answer of one attempt.
func (r *relay) consume(target *wire.Target, response *http.Response) (bool, error) {
	r.target = target.Name
	r.status = response.StatusCode
	r.attempt = response.Request.Header.Get(dispatcher.RequestHeader)
	r.known = pattern{} // it names the attempt
	if response.StatusCode != http.StatusOK {
		// The text of the target may quote the prompt, which must not get into
		// logs.
		return false, eris.Wrapf(fault.Malformed, "target %s answered %d", target.Name, response.StatusCode)
	}
	if !r.completion.stream {
		return false, r.consumeJSON(response.Body)
	}
	err := r.consumeStream(flusher{r, response.Body})
	r.flush()
	if r.broken != nil {
		err = r.broken
	}
	return r.output > 0, err
}

func (r *relay) consumeJSON(body io.Reader) error {
	text, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	var answer struct {
		Request string `json:"request"`
		Usage   *usage `json:"usage"`
		Choices []struct {
			Finish *string `json:"finish_reason"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(text, &answer); err != nil {
		return eris.New("answer is not valid JSON")
	}
	if answer.Request != "" && answer.Request != r.attempt {
		return eris.Wrapf(fault.Internal, "answer belongs to request %s", answer.Request)
	}
	if answer.Usage == nil || len(answer.Choices) == 0 || answer.Choices[0].Finish == nil {
		return eris.New("answer is not whole")
	}
	r.usage, r.last, r.media = *answer.Usage, text, "application/json"
	return nil
}

// consumeStream relays events until the end of the stream. A stream without
// its finish reason, its usage or its end is not whole.
func (r *relay) consumeStream(body io.Reader) error {
	r.media = eventStream
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 4096), maxEvent)
	finished := false
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte(dataPrefix))
		if !ok {
			continue
		}
		if string(data) == doneEvent {
			if !finished || r.last == nil {
				return eris.New("stream ended without finish reason or usage")
			}
			return nil
		}
		plain, err := r.inspect(data)
		if err != nil {
			return err
		}
		if plain {
			if err := r.relayEvent(data); err != nil {
				return err
			}
			continue
		}
		var event struct {
			Error   json.RawMessage `json:"error"`
			Usage   *usage          `json:"usage"`
			Choices []struct {
				Finish *string `json:"finish_reason"`
			} `json:"choices"`
		}
		if err := json.Unmarshal(data, &event); err != nil {
			return eris.New("event is not valid JSON")
		}
		if event.Error != nil {
			return eris.New("target reported an error")
		}
		if event.Usage != nil {
			r.usage, r.last = *event.Usage, bytes.Clone(data)
		}
		if len(event.Choices) == 0 {
			continue
		}
		finished = finished || event.Choices[0].Finish != nil
		if err := r.relayEvent(data); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

// inspect tells whether an event is plain. An event of another request is an
// error.
func (r *relay) inspect(event []byte) (plain bool, err error) {
	if r.known.matches(event) {
		return true, nil
	}
	if r.isForeign(event) {
		return false, eris.Wrap(fault.Internal, "event belongs to another request")
	}
	if !isPlain(event) {
		return false, nil
	}
	r.known.learn(event)
	return true, nil
}

// relayEvent passes one event to the caller. If the caller of a keyed request
// has gone away, the answer is only kept for the retry.
func (r *relay) relayEvent(data []byte) error {
	s := r.session
	now := r.gateway.cfg.Now()
	if !s.started {
		s.Header().Set("Content-Type", eventStream)
		s.Header().Set("Cache-Control", "no-cache")
		s.WriteHeader(http.StatusOK)
		s.started = true
		s.outcome.FirstToken = now.Sub(s.start)
		r.begun()
	} else {
		s.outcome.InterToken = append(s.outcome.InterToken, now.Sub(r.latest))
	}
	r.latest = now
	r.output++
	return r.write(data)
}

func (r *relay) write(data []byte) error {
	r.event = append(append(append(r.event[:0], dataPrefix...), data...), '\n', '\n')
	if r.session.key != "" && len(r.whole) <= maxAnswer {
		r.whole = append(r.whole, r.event...)
	}
	if !r.gone {
		_, err := r.session.Write(r.event)
		r.pending = err == nil
		r.lose(err)
	}
	return r.broken
}

// flush sends the events that have been written.
func (r *relay) flush() {
	if r.pending {
		r.pending = false
		r.lose(http.NewResponseController(r.session.ResponseWriter).Flush())
	}
}

// lose takes an error of the connection to the caller.
func (r *relay) lose(err error) {
	if err == nil {
		return
	}
	r.gone = true
	if r.session.key == "" {
		r.broken = eris.Wrapf(fault.Interrupted, "caller has gone away: %v", err)
	}
}

// finish settles a whole answer and then passes its end to the caller.
func (r *relay) finish(ctx context.Context, target string) error {
	s := r.session
	r.target = target
	if r.media == "application/json" {
		r.whole = r.last
	} else if s.key != "" {
		end := []byte(dataPrefix + string(r.last) + "\n\n" + dataPrefix + doneEvent + "\n\n")
		r.whole = append(r.whole, end...)
	}
	bill := r.bill()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	outcome, err := r.gateway.cfg.Settle(ctx, r.reserved, bill)
	if err != nil {
		return err
	}
	r.gateway.trace(s, "Bill settled.", zap.Stringer("outcome", outcome), zap.Int64("amount", bill.Amount))
	switch outcome {
	case wire.Outcome_OUTCOME_BILLED:
		s.outcome.Billed = bill.Amount
	case wire.Outcome_OUTCOME_DUPLICATE:
	case wire.Outcome_OUTCOME_CONFLICT:
		return eris.Wrapf(fault.Conflict, "Idempotency-Key %s was used with another request", s.key)
	default:
		return eris.Wrapf(fault.Unsettled, "ledger answered %v", outcome)
	}
	s.outcome.Code = "ok"
	if r.media == "application/json" {
		s.Header().Set("Content-Type", r.media)
		s.WriteHeader(http.StatusOK)
		_, _ = s.Write(r.last)
		return nil
	}
	r.end()
	return nil
}

// end writes the events that were held back. An error means that the caller
// has gone away after its request was billed.
func (r *relay) end() {
	end := dataPrefix + string(r.last) + "\n\n" + dataPrefix + doneEvent + "\n\n"
	if _, err := io.WriteString(r.session, end); err == nil {
		_ = http.NewResponseController(r.session.ResponseWriter).Flush()
	}
}

// bill returns the bill for the usage that the engine reported, at most the
// bound that was reserved.
func (r *relay) bill() *wire.Bill {
	s, c := r.session, r.completion
	s.outcome.ExceededBound = r.usage.Prompt+r.usage.Output > c.bound()
	b := &wire.Bill{
		Account: s.account.Name, Request: s.identity, Digest: s.digest, Model: c.model, Prompt: r.usage.Prompt, Output: r.usage.Output,
		Amount: min(r.usage.Prompt+r.usage.Output, c.bound()), Reserved: c.bound(), Time: r.gateway.cfg.Now().UnixNano(),
		Zone: r.gateway.cfg.Zone, Target: r.target, Keyed: s.key != "", Media: r.media, Status: http.StatusOK,
	}
	if s.key != "" && len(r.whole) <= maxAnswer {
		b.Answer = r.whole
	}
	return b
}

// abandoned returns the bill for a request whose caller went away in the
// middle of the answer: the tokens that were relayed and the prompt. It
// returns nil if the caller is not the cause, since a broken answer is not
// billed.
func (r *relay) abandoned() *wire.Bill {
	if r.session.request.Context().Err() == nil && !r.gone || r.session.key != "" || r.output == 0 {
		return nil
	}
	r.usage.Output = r.output
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if prompt, ok := r.gateway.tokenize(ctx, r.completion); ok {
		r.usage.Prompt = prompt
	}
	return r.bill()
}

// requestField precedes the identity that an engine echoes in each event. In
// the text of an answer its quotes would be escaped.
var requestField = []byte(`"request":`)

// isForeign tells whether an event names another request. Engines that echo
// no identity can't be checked.
func (r *relay) isForeign(event []byte) bool {
	_, rest, found := bytes.Cut(event, requestField)
	if !found {
		return false
	}
	quoted, ok := bytes.CutPrefix(bytes.TrimLeft(rest, " "), []byte(`"`))
	if !ok {
		return false
	}
	identity, _, _ := bytes.Cut(quoted, []byte(`"`))
	return string(identity) != r.attempt
}
