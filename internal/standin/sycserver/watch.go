package sycserver

import (
	"bytes"
	"sync"
)

// textWatcher counts the occurrences of texts in the bytes that a server receives.
type textWatcher struct {
	// mu guards all fields.
	mu    sync.Mutex
	texts [][]byte
	// longest is the length of the longest text, in bytes.
	longest int
	// matches is the number of occurrences counted so far.
	matches int
}

// add adds texts to search for in bytes received from now on.
func (w *textWatcher) add(texts []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, text := range texts {
		w.texts = append(w.texts, []byte(text))
		w.longest = max(w.longest, len(text))
	}
}

// search counts the texts in data, including texts that start in tail, the last
// bytes received before data on the same connection. It returns the new tail.
func (w *textWatcher) search(tail, data []byte) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.longest == 0 || len(data) == 0 {
		return tail
	}
	joined := append(bytes.Clone(tail), data...)
	for _, text := range w.texts {
		// Matches that end inside the tail were counted by an earlier call.
		from := max(0, len(tail)-len(text)+1)
		w.matches += bytes.Count(joined[from:], text)
	}
	return joined[max(0, len(joined)-w.longest+1):]
}

// Watch starts to count how often the texts occur in the bytes received from
// clients: in request paths, headers or bodies.
func (s *Server) Watch(texts ...string) { s.listener.watcher.add(texts) }

// Sightings returns how often texts given to Watch have been received.
func (s *Server) Sightings() int {
	w := &s.listener.watcher
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.matches
}
