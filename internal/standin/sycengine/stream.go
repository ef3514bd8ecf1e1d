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

type tokenEvent struct {
	Attempt string `json:"attempt"`
	Index   int    `json:"index"`
	Text    string `json:"text"`
}

type doneEvent struct {
	Attempt      string `json:"attempt"`
	Index        int    `json:"index"`
	Done         bool   `json:"done"`
	FinishReason string `json:"finish_reason"`
	Usage        usage  `json:"usage"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

// piece is what a stream has to send at one time.
type piece struct {
	from   int
	tokens []string
	done   *usage
	cut    bool
	grown  <-chan struct{}
}

// pieceOf returns what the sequence has from an index on.
func (e *Engine) pieceOf(s *sequence, from int) piece {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := piece{from: from, cut: s.cut, grown: s.grown}
	if from < s.next() {
		p.tokens = slices.Clone(s.tokens[from-s.start:])
	}
	if s.done {
		p.done = &usage{PromptTokens: s.prompt, CompletionTokens: s.end, CachedTokens: s.cached}
	}
	return p
}

// follow sends the answer from an index on until its end.
func (e *Engine) follow(ctx context.Context, w http.ResponseWriter, l *life, s *sequence, attempt string, from int) error {
	header := w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Sycamorecart-Attempt", attempt)
	header.Set("Sycamorecart-Incarnation", l.incarnation)
	header.Set("Sycamorecart-Weights", s.weights)
	w.WriteHeader(http.StatusOK)
	for {
		p := e.pieceOf(s, from)
		if err := send(w, attempt, p); err != nil {
			return nil
		}
		from += len(p.tokens)
		if p.done != nil {
			return nil
		}
		if p.cut {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-p.grown:
		case <-l.ctx.Done():
			panic(http.ErrAbortHandler)
		case <-ctx.Done():
			return nil
		}
	}
}

func send(w http.ResponseWriter, attempt string, p piece) error {
	for i, text := range p.tokens {
		if err := sendEvent(w, tokenEvent{attempt, p.from + i, text}); err != nil {
			return err
		}
	}
	if p.done != nil {
		end := p.from + len(p.tokens)
		if err := sendEvent(w, doneEvent{attempt, end, true, "stop", *p.done}); err != nil {
			return err
		}
	}
	return http.NewResponseController(w).Flush()
}

func sendEvent(w http.ResponseWriter, event any) error {
	data, err := json.Marshal(event)
	if err != nil {
		return err
	}
	line := append([]byte("data: "), data...)
	_, err = w.Write(append(line, "\n\n"...))
	return err
}

// streamOf returns the stream that the request names, if its salt is right.
func (e *Engine) streamOf(r bunrouter.Request) (*life, *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forgetStreams(e.life)
	s := e.life.streams[r.Param("stream")]
	if s == nil || s.salt != r.URL.Query().Get("cache_salt") {
		return e.life, nil
	}
	return e.life, s
}

func (e *Engine) getStream(w http.ResponseWriter, r bunrouter.Request) error {
	l, s := e.streamOf(r)
	if s == nil {
		return refuse(w, http.StatusNotFound, "unknown_stream", "the stream is unknown")
	}
	query := r.URL.Query()
	from, err := strconv.Atoi(query.Get("from"))
	if err != nil || from < s.start || from > s.end {
		return refuse(w, http.StatusNotFound, "unknown_position", "the stream doesn't hold that position")
	}
	return e.follow(r.Context(), w, l, s, query.Get("attempt"), from)
}

func (e *Engine) deleteStream(w http.ResponseWriter, r bunrouter.Request) error {
	l, s := e.streamOf(r)
	if s == nil {
		return refuse(w, http.StatusNotFound, "unknown_stream", "the stream is unknown")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s.abort(time.Now())
	l.waiting = slices.DeleteFunc(l.waiting, (*sequence).finished)
	w.WriteHeader(http.StatusNoContent)
	return nil
}
