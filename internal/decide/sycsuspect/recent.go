package sycsuspect

import "time"

const (
	// recentTime is the least time for which a block that was answered is sound, and knownTime
	// the least time for which it is less suspect than others. They are at most twice that.
	recentTime = 5 * time.Second
	knownTime  = time.Minute
	// maxRecent limits the blocks that are remembered in half of that time.
	maxRecent = 4096
	// vouchPause is the time between two records that tell that a block was answered.
	vouchPause = 500 * time.Millisecond
)

// recent remembers the blocks that this VM has had answered lately.
type recent struct {
	// lasts is the least time for which a block is remembered. It is at most twice that.
	lasts time.Duration
	// current and previous hold when a record last told of a block, by the block's hash.
	// Current becomes previous after lasts.
	current, previous map[uint64]time.Duration
	// since is when current was begun.
	since time.Duration
}

// add remembers a block.
func (r *recent) add(now time.Duration, hash uint64) {
	r.age(now)
	if _, known := r.current[hash]; known {
		return
	}
	if len(r.current) >= maxRecent {
		r.rotate(now)
	}
	told, known := r.previous[hash]
	if !known {
		told = now - vouchPause
	}
	r.current[hash] = told
}

// age forgets what is too old.
func (r *recent) age(now time.Duration) {
	for r.current == nil || now-r.since >= r.lasts {
		idle := now-r.since >= 2*r.lasts
		r.rotate(now)
		if idle {
			r.previous = nil
		}
	}
}

func (r *recent) rotate(now time.Duration) {
	r.previous, r.current, r.since = r.current, map[uint64]time.Duration{}, now
}

// has reports whether a block is remembered. Tell is set if the other VMs should be told so.
func (r *recent) has(now time.Duration, hash uint64) (known, tell bool) {
	r.age(now)
	generation := r.current
	told, known := generation[hash]
	if !known {
		generation = r.previous
		told, known = generation[hash]
	}
	if !known || now-told < vouchPause {
		return known, false
	}
	generation[hash] = now
	return true, true
}
