package sycengine

import (
	"slices"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycblock"
	"sycamorecart.example/sycamorecart/internal/ground/sycpause"
)

// runBatch computes steps until the life ends.
func (e *Engine) runBatch(l *life) {
	defer e.abortAll(l)
	for {
		duration, idle := e.beginStep(l)
		if idle {
			select {
			case <-l.work:
				continue
			case <-l.ctx.Done():
				return
			}
		}
		if !sycpause.For(l.ctx, duration) {
			return
		}
		e.endStep(l)
	}
}

func (e *Engine) abortAll(l *life) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, s := range l.streams {
		s.abort(now)
	}
}

// enqueue adds a sequence behind those of the same priority; it reports false
// when too many wait.
func (e *Engine) enqueue(l *life, s *sequence) bool {
	if len(l.waiting) >= e.options.MaxWaiting {
		return false
	}
	at, _ := slices.BinarySearchFunc(l.waiting, s.priority+1, func(w *sequence, priority int) int {
		return w.priority - priority
	})
	l.waiting = slices.Insert(l.waiting, at, s)
	l.streams[s.id] = s
	select {
	case l.work <- struct{}{}:
	default:
	}
	return true
}

// beginStep admits waiting sequences, plans the prefill of the step and returns
// the step's duration.
func (e *Engine) beginStep(l *life) (duration time.Duration, idle bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forgetStreams(l)
	l.running = slices.DeleteFunc(l.running, (*sequence).finished)
	for len(l.waiting) > 0 && len(l.running) < e.options.MaxBatch {
		s := l.waiting[0]
		l.waiting = l.waiting[1:]
		e.admit(l, s)
	}
	if len(l.running) == 0 {
		return 0, true
	}
	prefill := e.planPrefill(l)
	step := e.options.DecodeStep + time.Duration(len(l.running)-1)*e.options.DecodeStepPerRequest
	step += time.Duration(prefill) * time.Second / time.Duration(e.options.PrefillTokensPerSecond)
	if e.faults.Slow > 1 {
		step = time.Duration(float64(step) * e.faults.Slow)
	}
	return e.scaled(step), false
}

func (e *Engine) admit(l *life, s *sequence) {
	held := l.cache.Longest(s.chain)
	s.cached = held * sycblock.TokensPerBlock
	// At least one token of the prompt is always computed.
	s.prefill = max(s.prefill+s.prompt-s.cached, 1)
	l.running = append(l.running, s)
}

// planPrefill spends the step's chunk on the running sequences in order.
func (e *Engine) planPrefill(l *life) int {
	left := e.options.PrefillChunk
	for _, s := range l.running {
		n := min(left, s.prefill)
		if s.slow > 1 {
			n = min(n, max(1, e.options.PrefillChunk/s.slow))
		}
		s.prefill -= n
		left -= n
	}
	return e.options.PrefillChunk - left
}

// endStep generates a token for each sequence whose prefill is done.
func (e *Engine) endStep(l *life) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, s := range l.running {
		if s.finished() || s.prefill > 0 {
			continue
		}
		if len(s.tokens) == 0 && s.skipped == 0 {
			e.store(l, s.salt, s.weights, s.chain)
		}
		s.skipped++
		if s.skipped%s.slow == 0 {
			s.decode(now)
		}
	}
	l.running = slices.DeleteFunc(l.running, (*sequence).finished)
}

// store adds blocks to the cache and publishes what changed.
func (e *Engine) store(l *life, salt, weights string, chain []uint64) {
	stored, evicted := l.cache.Store(salt, weights, chain)
	if len(stored) > 0 {
		e.publish(l, Event{Op: opStore, Salt: salt, Blocks: stored})
	}
	e.publishEvicted(l, evicted)
}

// forgetStreams drops ended streams that are no longer kept.
func (e *Engine) forgetStreams(l *life) {
	now := time.Now()
	for id, s := range l.streams {
		if s.finished() && now.Sub(s.endedAt) > e.options.KeepStreams {
			delete(l.streams, id)
		}
	}
}
