package sycfeed

import "time"

// askingTime is how long a VM asks others at most for records that it would have had before its
// own snapshot. VMs that have begun at the same time can't answer each other.
const askingTime = 900 * time.Millisecond

// asking is what a VM asks of the others. A snapshot of a restored log doesn't show what the log
// has lost, but other VMs may still hold it.
type asking struct {
	// until is when this VM no longer asks.
	until time.Duration
	// from is the position from which on it asks for all records.
	from Position
	// reached holds the positions up to which other VMs have sent theirs, by VM.
	reached map[string]Position
}

// begin begins to ask for all records from a position on.
func (a *asking) begin(now time.Duration, from Position) {
	if now >= a.until || from.Before(a.from) {
		a.from = from
	}
	a.until, a.reached = now+askingTime, map[string]Position{}
}

// Ask begins to ask other VMs for all records, since this VM has just started.
func (t *Topic) Ask(now time.Duration) { t.asking.begin(now, Position{}) }

// Asks reports whether this VM still asks others for records that they hold.
func (t *Topic) Asks(now time.Duration) bool { return now < t.asking.until }

// Wanted returns the position from which on this VM wants records of another VM.
func (t *Topic) Wanted(now time.Duration, vm string) Position {
	from := latest(t.asking.from, t.asking.reached[vm])
	if t.Asks(now) && from.Before(t.next) {
		return from
	}
	return t.Told()
}

// Answered records that another VM, which doesn't ask itself, has sent a page of its records from
// a position on. If it has then sent all of them, this VM asks no longer, and takes back what it
// couldn't tell by itself about an era that the other VM follows, too. Answered returns the
// changes like Apply.
func (t *Topic) Answered(now time.Duration, vm string, from Position, p Page) []Change {
	if !t.Asks(now) || latest(t.asking.from, t.asking.reached[vm]).Before(from) {
		return nil
	}
	if !p.Complete {
		t.asking.reached[vm] = latest(t.asking.reached[vm], p.Next)
		return nil
	}
	t.asking.until = now
	out := append(t.resolve(now, nil, p.Next), t.admitRivals(now)...)
	if p.Next.Era < t.era {
		return out
	}
	clear(t.guesses)
	t.fresh = false
	for key, d := range t.delayed {
		if d.uncertain {
			delete(t.delayed, key)
			delete(t.lost, key)
		}
	}
	return out
}
