package sycengine

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/standin/syccache"
)

const (
	opStore = "store"
	opEvict = "evict"
	opClear = "clear"
	// keptEvents is how many events an engine keeps.
	keptEvents = 20000
)

// Event is a change of the block cache.
type Event struct {
	Seq    uint64   `json:"seq"`
	Op     string   `json:"op"`
	Salt   string   `json:"salt,omitempty"`
	Blocks []uint64 `json:"blocks,omitempty"`
}

type timedEvent struct {
	at    time.Time
	event Event
}

// eventLog holds the newest events in the order of their sequence numbers,
// without those that were lost.
type eventLog struct {
	events []timedEvent
	// first is the lowest sequence number that may still be held.
	first uint64
	// next is the sequence number of the next event.
	next uint64
}

func (l *eventLog) add(now time.Time, event Event, lost bool) {
	event.Seq = l.next
	l.next++
	if !lost {
		l.events = append(l.events, timedEvent{at: now, event: event})
	}
	if len(l.events) > keptEvents {
		l.events = l.events[len(l.events)-keptEvents/2:]
		l.first = l.events[0].event.Seq
	}
}

type eventsAnswer struct {
	Incarnation string  `json:"incarnation"`
	First       uint64  `json:"first"`
	Next        uint64  `json:"next"`
	Events      []Event `json:"events"`
}

// visible returns the events from a sequence number on that happened until the time.
func (l *eventLog) visible(from uint64, until time.Time) eventsAnswer {
	answer := eventsAnswer{First: l.first, Next: max(l.first, min(from, l.next)), Events: []Event{}}
	for _, e := range l.events {
		if e.event.Seq < from {
			continue
		}
		if e.at.After(until) {
			break
		}
		answer.Events = append(answer.Events, e.event)
		answer.Next = e.event.Seq + 1
	}
	return answer
}

// publish adds an event, or loses it. The caller holds mu.
func (e *Engine) publish(l *life, event Event) {
	loss := max(e.options.EventLoss, e.faults.EventLoss)
	lost := loss > 0 && e.rng.Float64() < loss
	l.events.add(time.Now(), event, lost)
}

// publishEvicted publishes one event for each salt, in the order of eviction.
func (e *Engine) publishEvicted(l *life, evicted []syccache.Block) {
	for len(evicted) > 0 {
		salt := evicted[0].Salt()
		event := Event{Op: opEvict, Salt: salt}
		for len(evicted) > 0 && evicted[0].Salt() == salt {
			event.Blocks = append(event.Blocks, evicted[0].Hash())
			evicted = evicted[1:]
		}
		e.publish(l, event)
	}
}
