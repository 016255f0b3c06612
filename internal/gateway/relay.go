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
	// maxEvent is the maximum size of an event of a stream, in bytes.
	maxEvent = 1 << 20
	// settleTimeout is the time within which a bill must become durable.
	settleTimeout = 5 * time.Second
)

// usage is the usage reported by an engine, in tokens.
type usage struct {
	Prompt int64 `json:"prompt_tokens"`
	Output int64 `json:"completion_tokens"`
}

// relay forwards the response of an engine to the caller. It holds back the end
// of the response until the bill is durable.
type relay struct {
	gateway      *Gateway
	state        *requestState
	completion   *completion
	reservation  uint64
	onFirstToken func()

	usage  usage
	target string
	// attemptID is the ID under which the request was sent to the target.
	attemptID string
	// contentEvents is the number of relayed events with content.
	contentEvents int64
	stored        []byte // response for a retry so far, if the request has a key
	heldBack      []byte // usage event or JSON body
	media         string
	status        int
	lastEvent     time.Time
	event         []byte // buffer for an event
	template      eventTemplate

	unflushed  bool // events have been written but not flushed
	callerGone bool // the caller has disconnected
	// callerErr is the error of the connection to the caller if it ends the
	// request.
	callerErr error
}

// consume reads the response of one attempt.
func (r *relay) consume(target *wire.Target, response *http.Response) (bool, error) {
	r.target = target.Name
	r.status = response.StatusCode
	r.attemptID = response.Request.Header.Get(dispatcher.RequestHeader)
	// What was kept of an earlier attempt belongs to another run.
	r.template, r.usage, r.heldBack = eventTemplate{}, usage{}, nil
	if response.StatusCode != http.StatusOK {
		// The error text of the target may quote the prompt, which must not be
		// logged.
		return false, eris.Wrapf(fault.Malformed, "target %s responded with status %d", target.Name, response.StatusCode)
	}
	if !r.completion.stream {
		return false, r.consumeJSON(response.Body)
	}
	err := r.consumeStream(flushingReader{r, response.Body})
	r.flush()
	if r.callerErr != nil {
		err = r.callerErr
	}
	return r.contentEvents > 0, err
}

func (r *relay) consumeJSON(body io.Reader) error {
	raw, err := io.ReadAll(io.LimitReader(body, maxBodySize+1))
	if err != nil {
		return err
	}
	if len(raw) > maxBodySize {
		return eris.Errorf("response exceeds %d bytes", maxBodySize)
	}
	var response struct {
		Request string `json:"request"`
		Usage   *usage `json:"usage"`
		Choices []struct {
			Finish *string `json:"finish_reason"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(raw, &response); err != nil {
		return eris.New("response is not valid JSON")
	}
	if response.Request != "" && response.Request != r.attemptID {
		return eris.Wrapf(fault.Internal, "response belongs to request %s", response.Request)
	}
	if response.Usage == nil || len(response.Choices) == 0 || response.Choices[0].Finish == nil {
		return eris.New("response is incomplete: usage or finish_reason is missing")
	}
	r.usage, r.heldBack, r.media = *response.Usage, raw, "application/json"
	return nil
}

// consumeStream relays events until the end of the stream. A stream without a
// finish reason, usage or end marker is incomplete.
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
			if !finished || r.heldBack == nil {
				return eris.New("stream ended without finish_reason or usage")
			}
			return nil
		}
		contentOnly, err := r.classify(data)
		if err != nil {
			return err
		}
		if contentOnly {
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
			r.usage, r.heldBack = *event.Usage, bytes.Clone(data)
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

// classify reports whether an event is content-only. It returns an error for an
// event of another request.
func (r *relay) classify(event []byte) (contentOnly bool, err error) {
	if r.template.matches(event) {
		return true, nil
	}
	if r.isForeign(event) {
		return false, eris.Wrap(fault.Internal, "event belongs to another request")
	}
	if !isContentOnly(event) {
		return false, nil
	}
	r.template.learn(event)
	return true, nil
}

// relayEvent forwards one event to the caller. If the caller of a request with a
// key has disconnected, the event is only stored for the retry.
func (r *relay) relayEvent(data []byte) error {
	s := r.state
	now := r.gateway.cfg.Now()
	if !s.started {
		s.Header().Set("Content-Type", eventStream)
		s.Header().Set("Cache-Control", "no-cache")
		s.WriteHeader(http.StatusOK)
		s.started = true
		s.metrics.FirstToken = now.Sub(s.start)
		r.onFirstToken()
	} else {
		s.metrics.InterToken = append(s.metrics.InterToken, now.Sub(r.lastEvent))
	}
	r.lastEvent = now
	r.contentEvents++
	return r.write(data)
}

func (r *relay) write(data []byte) error {
	r.event = append(append(append(r.event[:0], dataPrefix...), data...), '\n', '\n')
	if r.state.key != "" && len(r.stored) <= maxStoredResponse {
		r.stored = append(r.stored, r.event...)
	}
	if !r.callerGone {
		_, err := r.state.Write(r.event)
		r.unflushed = err == nil
		r.onWriteError(err)
	}
	return r.callerErr
}

// flush flushes written events to the caller.
func (r *relay) flush() {
	if r.unflushed {
		r.unflushed = false
		r.onWriteError(http.NewResponseController(r.state.ResponseWriter).Flush())
	}
}

// onWriteError handles an error of the connection to the caller.
func (r *relay) onWriteError(err error) {
	if err == nil {
		return
	}
	r.callerGone = true
	if r.state.key == "" {
		r.callerErr = eris.Wrapf(fault.Interrupted, "caller disconnected: %v", err)
	}
}

// finish settles a complete response and then forwards its end to the caller.
func (r *relay) finish(ctx context.Context, target string) error {
	s := r.state
	r.target = target
	if r.media == "application/json" {
		r.stored = r.heldBack
	} else if s.key != "" {
		end := []byte(dataPrefix + string(r.heldBack) + "\n\n" + dataPrefix + doneEvent + "\n\n")
		r.stored = append(r.stored, end...)
	}
	bill := r.bill()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	outcome, err := r.gateway.cfg.Settle(ctx, r.reservation, bill)
	if err != nil {
		return err
	}
	r.gateway.trace(s, "bill settled", zap.Stringer("outcome", outcome), zap.Int64("amount", bill.Amount))
	switch outcome {
	case wire.Outcome_OUTCOME_BILLED:
		s.metrics.Billed = bill.Amount
	case wire.Outcome_OUTCOME_DUPLICATE:
		if r.media == "application/json" && r.gateway.replayDuplicate(ctx, s) {
			return nil
		}
	case wire.Outcome_OUTCOME_CONFLICT:
		return eris.Wrapf(fault.Conflict, "Idempotency-Key %s was used with another request", s.key)
	default:
		return eris.Wrapf(fault.Unsettled, "settle bill: ledger returned outcome %v", outcome)
	}
	s.metrics.Code = "ok"
	if r.media == "application/json" {
		s.Header().Set("Content-Type", r.media)
		s.WriteHeader(http.StatusOK)
		_, _ = s.Write(r.heldBack)
		return nil
	}
	r.writeEnd()
	return nil
}

// writeEnd writes the events that were held back. It ignores an error: the caller
// disconnected after its request was billed.
func (r *relay) writeEnd() {
	end := dataPrefix + string(r.heldBack) + "\n\n" + dataPrefix + doneEvent + "\n\n"
	if _, err := io.WriteString(r.state, end); err == nil {
		_ = http.NewResponseController(r.state.ResponseWriter).Flush()
	}
}

// bill returns the bill for the usage reported by the engine, capped at the
// reserved amount.
func (r *relay) bill() *wire.Bill {
	s, c := r.state, r.completion
	s.metrics.ExceededBound = r.usage.Prompt+r.usage.Output > c.bound()
	b := &wire.Bill{
		Account: s.account.Name, Request: s.requestID, Digest: s.digest, Model: c.model, Prompt: r.usage.Prompt, Output: r.usage.Output,
		Amount: min(r.usage.Prompt+r.usage.Output, c.bound()), Reserved: c.bound(), Time: r.gateway.cfg.Now().UnixNano(),
		Zone: r.gateway.cfg.Zone, Target: r.target, Keyed: s.key != "", Media: r.media, Status: http.StatusOK,
	}
	if s.key != "" && len(r.stored) <= maxStoredResponse {
		b.Answer = r.stored
	}
	return b
}

// abandonedBill returns the bill for a request whose caller disconnected during the
// response: for the prompt and the relayed tokens. It returns nil if the caller
// is not the cause, since broken responses are not billed.
func (r *relay) abandonedBill() *wire.Bill {
	if r.state.request.Context().Err() == nil && !r.callerGone || r.state.key != "" || r.contentEvents == 0 {
		return nil
	}
	r.usage.Output = r.contentEvents
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if prompt, ok := r.gateway.tokenize(ctx, r.completion); ok {
		r.usage.Prompt = prompt
	}
	return r.bill()
}

// requestField precedes the attempt ID that an engine echoes in each event. In
// the text of a response its quotes would be escaped.
var requestField = []byte(`"request":`)

// isForeign reports whether an event names another attempt. Events of engines
// that echo no ID can't be checked.
func (r *relay) isForeign(event []byte) bool {
	_, rest, found := bytes.Cut(event, requestField)
	if !found {
		return false
	}
	quoted, ok := bytes.CutPrefix(bytes.TrimLeft(rest, " "), []byte(`"`))
	if !ok {
		return false
	}
	id, _, _ := bytes.Cut(quoted, []byte(`"`))
	return string(id) != r.attemptID
}
