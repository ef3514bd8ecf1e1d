package sycengine

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/standin/syccache"
)

// Operations of cache events, and the limit of the event log.
const (
	// opStore adds blocks to the cache.
	opStore = "store"
	// opEvict removes blocks from the cache.
	opEvict = "evict"
	// opClear empties the whole cache.
	opClear = "clear"
	// maxEvents is the length of the event log above which the older half is dropped.
	maxEvents = 20000
)

// Event reports a change of the block cache.
type Event struct {
	// Seq is the event's sequence number, from 0 in each incarnation. A gap shows
	// that an event was lost.
	Seq uint64 `json:"seq"`
	// Op is "store", "evict" or "clear".
	Op string `json:"op"`
	// Salt is the cache salt of the blocks.
	Salt string `json:"salt,omitempty"`
	// Blocks holds the hashes of the stored or evicted blocks.
	Blocks []uint64 `json:"blocks,omitempty"`
}

// timedEvent is an event and the time at which it happened.
type timedEvent struct {
	at    time.Time
	event Event
}

// eventLog holds the newest events in the order of their sequence numbers. It
// lacks the events that a fault lost.
type eventLog struct {
	events []timedEvent
	// first is the sequence number below which all events have been dropped.
	first uint64
	// next is the sequence number of the next event.
	next uint64
}

// add gives the event the next sequence number and appends it unless it is lost.
func (l *eventLog) add(now time.Time, event Event, lost bool) {
	event.Seq = l.next
	l.next++
	if !lost {
		l.events = append(l.events, timedEvent{at: now, event: event})
	}
	if len(l.events) > maxEvents {
		l.events = l.events[len(l.events)-maxEvents/2:]
		l.first = l.events[0].event.Seq
	}
}

// eventsResponse is the body of the response to GET /v1/events.
type eventsResponse struct {
	// Incarnation is the engine's current incarnation, to which the events belong.
	Incarnation string `json:"incarnation"`
	// First is the sequence number below which all events have been dropped.
	First uint64 `json:"first"`
	// Next is the sequence number from which the client should read on.
	Next   uint64  `json:"next"`
	Events []Event `json:"events"`
}

// visible returns the events with a sequence number of at least from that happened
// no later than until.
func (l *eventLog) visible(from uint64, until time.Time) eventsResponse {
	response := eventsResponse{First: l.first, Next: max(l.first, min(from, l.next)), Events: []Event{}}
	for _, e := range l.events {
		if e.event.Seq < from {
			continue
		}
		if e.at.After(until) {
			break
		}
		response.Events = append(response.Events, e.event)
		response.Next = e.event.Seq + 1
	}
	return response
}

// publish adds an event to the instance's event log, or loses it with the
// probability set by the options or the faults. The caller holds mu.
func (e *Engine) publish(inst *instance, event Event) {
	loss := max(e.options.EventLoss, e.faults.EventLoss)
	lost := loss > 0 && e.rng.Float64() < loss
	inst.events.add(time.Now(), event, lost)
}

// publishEvicted publishes the eviction of blocks, in the order of eviction. It
// joins consecutive blocks of the same salt in one event. The caller holds mu.
func (e *Engine) publishEvicted(inst *instance, evicted []syccache.Block) {
	for len(evicted) > 0 {
		salt := evicted[0].Salt()
		event := Event{Op: opEvict, Salt: salt}
		for len(evicted) > 0 && evicted[0].Salt() == salt {
			event.Blocks = append(event.Blocks, evicted[0].Hash())
			evicted = evicted[1:]
		}
		e.publish(inst, event)
	}
}
