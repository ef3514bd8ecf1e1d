package sycserver

import (
	"bytes"
	"sync"
)

// watch looks for texts in everything that comes in.
type watch struct {
	mu    sync.Mutex
	texts [][]byte
	// longest is the length of the longest text.
	longest int
	seen    int
}

func (w *watch) add(texts []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, text := range texts {
		w.texts = append(w.texts, []byte(text))
		w.longest = max(w.longest, len(text))
	}
}

// look searches the bytes that follow a tail and returns the new tail.
func (w *watch) look(tail, data []byte) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.longest == 0 || len(data) == 0 {
		return tail
	}
	joined := append(bytes.Clone(tail), data...)
	for _, text := range w.texts {
		// Matches that end inside the tail were counted before.
		from := max(0, len(tail)-len(text)+1)
		w.seen += bytes.Count(joined[from:], text)
	}
	return joined[max(0, len(joined)-w.longest+1):]
}

// Watch counts from now on how often the texts come in, in headers, paths or bodies.
func (s *Server) Watch(texts ...string) { s.listener.watch.add(texts) }

// Sightings is how often watched texts have come in.
func (s *Server) Sightings() int {
	w := &s.listener.watch
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.seen
}
