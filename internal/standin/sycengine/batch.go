package sycengine

import (
	"slices"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycblock"
	"sycamorecart.example/sycamorecart/internal/ground/sycpause"
)

// runBatch runs the steps of continuous batching until the instance ends. In each
// step it computes prefill tokens and generates tokens for the running sequences.
func (e *Engine) runBatch(inst *instance) {
	defer e.abortAll(inst)
	for {
		duration, idle := e.beginStep(inst)
		if idle {
			select {
			case <-inst.work:
				continue
			case <-inst.ctx.Done():
				return
			}
		}
		if !sycpause.For(inst.ctx, duration) {
			return
		}
		e.endStep(inst)
	}
}

// abortAll interrupts all unfinished streams of an instance that has ended.
func (e *Engine) abortAll(inst *instance) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, s := range inst.streams {
		s.abort(now)
	}
}

// enqueue inserts a sequence into the queue behind all sequences of the same
// priority. It returns false if the queue is full. The caller holds mu.
func (e *Engine) enqueue(inst *instance, s *sequence) bool {
	if len(inst.waiting) >= e.options.MaxWaiting {
		return false
	}
	index, _ := slices.BinarySearchFunc(inst.waiting, s.priority+1, func(w *sequence, priority int) int {
		return w.priority - priority
	})
	inst.waiting = slices.Insert(inst.waiting, index, s)
	inst.streams[s.id] = s
	select {
	case inst.work <- struct{}{}:
	default:
	}
	return true
}

// beginStep admits waiting sequences to the batch, plans the step's prefill and
// returns the step's duration. It returns idle if the batch is empty.
func (e *Engine) beginStep(inst *instance) (duration time.Duration, idle bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireStreams(inst)
	inst.running = slices.DeleteFunc(inst.running, (*sequence).finished)
	for len(inst.waiting) > 0 && len(inst.running) < e.options.MaxBatch {
		s := inst.waiting[0]
		inst.waiting = inst.waiting[1:]
		e.admit(inst, s)
	}
	if len(inst.running) == 0 {
		return 0, true
	}
	prefill := e.planPrefill(inst)
	step := e.options.DecodeStep + time.Duration(len(inst.running)-1)*e.options.DecodeStepPerRequest
	step += time.Duration(prefill) * time.Second / time.Duration(e.options.PrefillTokensPerSecond)
	if e.faults.Slow > 1 {
		step = time.Duration(float64(step) * e.faults.Slow)
	}
	return e.scaled(step), false
}

// admit moves a sequence taken from the queue into the batch and sets how many
// tokens its prefill has to compute. The caller holds mu.
func (e *Engine) admit(inst *instance, s *sequence) {
	blocks := inst.cache.MatchPrefix(s.chain)
	s.cached = blocks * sycblock.TokensPerBlock
	// At least one token is computed, even if the whole prompt is cached.
	s.prefill = max(s.prefill+s.prompt-s.cached, 1)
	inst.running = append(inst.running, s)
}

// planPrefill distributes the step's PrefillChunk tokens over the running
// sequences in their order in the batch and returns the number of tokens planned. A
// sequence that a fault slows down gets at most PrefillChunk/stepsPerToken of them. The
// caller holds mu.
func (e *Engine) planPrefill(inst *instance) int {
	budget := e.options.PrefillChunk
	for _, s := range inst.running {
		n := min(budget, s.prefill)
		if s.stepsPerToken > 1 {
			n = min(n, max(1, e.options.PrefillChunk/s.stepsPerToken))
		}
		s.prefill -= n
		budget -= n
	}
	return e.options.PrefillChunk - budget
}

// endStep ends a step for each running sequence whose prefill is done. It caches
// the prompt's blocks on the first such step and generates one token in every
// stepsPerToken steps.
func (e *Engine) endStep(inst *instance) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, s := range inst.running {
		if s.finished() || s.prefill > 0 {
			continue
		}
		if len(s.tokens) == 0 && s.decodeSteps == 0 {
			e.store(inst, s.salt, s.weights, s.chain)
		}
		s.decodeSteps++
		if s.decodeSteps%s.stepsPerToken == 0 {
			s.decode(now)
		}
	}
	inst.running = slices.DeleteFunc(inst.running, (*sequence).finished)
}

// store adds blocks to the cache and publishes events for the stored and evicted
// blocks. The caller holds mu.
func (e *Engine) store(inst *instance, salt, weights string, chain []uint64) {
	stored, evicted := inst.cache.Store(salt, weights, chain)
	if len(stored) > 0 {
		e.publish(inst, Event{Op: opStore, Salt: salt, Blocks: stored})
	}
	e.publishEvicted(inst, evicted)
}

// expireStreams deletes streams that ended more than Options.KeepStreams ago. The
// caller holds mu.
func (e *Engine) expireStreams(inst *instance) {
	now := time.Now()
	for id, s := range inst.streams {
		if s.finished() && now.Sub(s.endedAt) > e.options.KeepStreams {
			delete(inst.streams, id)
		}
	}
}
