package sycengine

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/uptrace/bunrouter"
)

// tokenEvent is the server-sent event for one token of a response.
type tokenEvent struct {
	// Attempt is the attempt id that the response carries.
	Attempt string `json:"attempt"`
	// Index is the token's index in the whole response, from 0.
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// doneEvent is the terminal event of a complete response.
type doneEvent struct {
	// Attempt is the attempt id that the response carries.
	Attempt string `json:"attempt"`
	// Index is the index after the last token.
	Index        int    `json:"index"`
	Done         bool   `json:"done"`
	FinishReason string `json:"finish_reason"`
	Usage        usage  `json:"usage"`
}

// usage counts the tokens of a request. CachedTokens are the prompt tokens that
// were cached at the admission to the batch.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

// chunk is the part of a response that can be sent at one time.
type chunk struct {
	// from is the index of the first token.
	from   int
	tokens []string
	// done is set if the response is complete after the tokens.
	done *usage
	// interrupted is set if the response is interrupted after the tokens.
	interrupted bool
	// updated is closed at the next change of the response.
	updated <-chan struct{}
}

// nextChunk returns the tokens generated so far from an index on.
func (e *Engine) nextChunk(s *sequence, from int) chunk {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := chunk{from: from, interrupted: s.interrupted, updated: s.updated}
	if from < s.nextIndex() {
		c.tokens = slices.Clone(s.tokens[from-s.start:])
	}
	if s.done {
		c.done = &usage{PromptTokens: s.prompt, CompletionTokens: s.end, CachedTokens: s.cached}
	}
	return c
}

// streamResponse sends a sequence's response as server-sent events from an index
// on, until it ends or the client disconnects. It aborts the connection if the
// response is interrupted.
func (e *Engine) streamResponse(ctx context.Context, w http.ResponseWriter, inst *instance, s *sequence, attempt string, from int) error {
	header := w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Sycamorecart-Attempt", attempt)
	header.Set("Sycamorecart-Incarnation", inst.incarnation)
	header.Set("Sycamorecart-Weights", s.weights)
	w.WriteHeader(http.StatusOK)
	for {
		c := e.nextChunk(s, from)
		if err := sendChunk(w, attempt, c); err != nil {
			return nil
		}
		from += len(c.tokens)
		if c.done != nil {
			return nil
		}
		if c.interrupted {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-c.updated:
		case <-inst.ctx.Done():
			panic(http.ErrAbortHandler)
		case <-ctx.Done():
			return nil
		}
	}
}

// sendChunk writes a chunk's events and flushes them to the client.
func sendChunk(w http.ResponseWriter, attempt string, c chunk) error {
	for i, text := range c.tokens {
		if err := sendEvent(w, tokenEvent{attempt, c.from + i, text}); err != nil {
			return err
		}
	}
	if c.done != nil {
		end := c.from + len(c.tokens)
		if err := sendEvent(w, doneEvent{attempt, end, true, "stop", *c.done}); err != nil {
			return err
		}
	}
	return http.NewResponseController(w).Flush()
}

// sendEvent writes one server-sent event with the event's JSON as its data.
func sendEvent(w http.ResponseWriter, event any) error {
	data, err := json.Marshal(event)
	if err != nil {
		return err
	}
	line := append([]byte("data: "), data...)
	_, err = w.Write(append(line, "\n\n"...))
	return err
}

// findStream returns the current instance and the stream that a request names. The
// stream is nil if it doesn't exist or if the request has another cache salt.
func (e *Engine) findStream(r bunrouter.Request) (*instance, *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireStreams(e.instance)
	s := e.instance.streams[r.Param("stream")]
	if s == nil || s.salt != r.URL.Query().Get("cache_salt") {
		return e.instance, nil
	}
	return e.instance, s
}

// getStream sends the response of an existing stream from an index on, so that a
// client can resume after a lost connection.
func (e *Engine) getStream(w http.ResponseWriter, r bunrouter.Request) error {
	inst, s := e.findStream(r)
	if s == nil {
		return refuse(w, http.StatusNotFound, "unknown_stream", "the stream is unknown")
	}
	query := r.URL.Query()
	from, err := strconv.Atoi(query.Get("from"))
	if err != nil || from < s.start || from > s.end {
		return refuse(w, http.StatusNotFound, "unknown_position", "the stream doesn't hold that position")
	}
	return e.streamResponse(r.Context(), w, inst, s, query.Get("attempt"), from)
}

// deleteStream cancels a queued or running request.
func (e *Engine) deleteStream(w http.ResponseWriter, r bunrouter.Request) error {
	inst, s := e.findStream(r)
	if s == nil {
		return refuse(w, http.StatusNotFound, "unknown_stream", "the stream is unknown")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s.abort(time.Now())
	inst.waiting = slices.DeleteFunc(inst.waiting, (*sequence).finished)
	w.WriteHeader(http.StatusNoContent)
	return nil
}
