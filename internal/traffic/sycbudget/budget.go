// Package sycbudget bounds the memory that bodies of requests and answers in transit hold on a VM.
//
// Memory is charged as bytes arrive, never by a stated length. When it runs short, the budget ends the request
// bodies that have made no progress for longest, as nothing of them has been forwarded. A transfer that is
// alone always gets what it needs.
package sycbudget

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
	"sycamorecart.example/sycamorecart/internal/ground/sycclock"
)

// ownerShare is the fraction of the budget that the transfers of one owner may hold together. The rest is
// large enough for small requests of others on the smallest VM. A load balancer may be the only caller's
// address, so that the share is high.
const ownerShare = 7.0 / 8

// logInterval is the least time between two log lines of a budget.
const logInterval = time.Second

var (
	endedForMemory      = metrics.GetOrCreateCounter(`sycamorecart_transfers_ended_total{reason="memory"}`)
	endedForConnections = metrics.GetOrCreateCounter(`sycamorecart_transfers_ended_total{reason="connections"}`)
	refused             = metrics.GetOrCreateCounter(`sycamorecart_transfers_refused_total`)
	// bytesHeld is the sum over all budgets of the process.
	bytesHeld = metrics.GetOrCreateGauge(`sycamorecart_transfer_bytes`, nil)
)

// ShortError means that a transfer got no memory. Its request must not be forwarded.
type ShortError struct {
	// Ended is set if the transfer was ended in favor of others, else all memory is held by transfers that
	// can't be ended.
	Ended bool
	// Used and Limit are the bytes held by all transfers and the budget, in bytes.
	Used, Limit int64
}

// Error returns the reason with the budget's state.
func (e *ShortError) Error() string {
	return fmt.Sprintf("no memory for a transfer: %d of %d bytes are held, ended %t", e.Used, e.Limit, e.Ended)
}

// Budget is the memory for transfers. It is safe for concurrent use.
type Budget struct {
	limit, ownerLimit int64
	now               func() time.Duration
	log               *logrus.Entry
	logging           rate.Sometimes
	// joining is held while the segments of a body are joined.
	joining sync.Mutex
	// mu protects the fields below and those of all transfers.
	mu   sync.Mutex
	used int64
	// owners holds what the transfers of each owner hold, without owners that hold nothing.
	owners    map[string]int64
	transfers map[*Transfer]struct{}
	// changed is closed and replaced when bytes are released or a transfer is ended.
	changed chan struct{}
	// ended and refused count transfers since the last log line.
	ended, refused int
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget {
	return &Budget{
		limit: limit, ownerLimit: int64(ownerShare * float64(limit)), now: sycclock.Now, log: logrus.WithField("part", "budget"),
		logging: rate.Sometimes{Interval: logInterval}, owners: map[string]int64{}, transfers: map[*Transfer]struct{}{},
		changed: make(chan struct{}),
	}
}

// Used returns the bytes that all transfers hold.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Open starts a transfer that holds nothing yet. The owners are those whose share is limited, such as the
// caller's address. The budget calls end at most once, to make pending and later reads of the transfer fail; it
// must not block. The budget doesn't end a transfer whose end is nil. The caller must close the transfer.
func (b *Budget) Open(end func(), owners ...string) *Transfer {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := &Transfer{budget: b, end: end, owners: owners, progressAt: b.now()}
	b.transfers[t] = struct{}{}
	return t
}

// EndStalest ends the request body that has made no progress for longest, in order to free its connection. It
// returns false if there is none.
func (b *Budget) EndStalest() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	victims := b.victims(nil, "", 0)
	if len(victims) == 0 {
		return false
	}
	b.endTransfer(victims[0])
	endedForConnections.Inc()
	return true
}

// grow charges n bytes to a transfer, and waits for memory that ended transfers are about to release. The
// error is a *ShortError or that of the context.
func (b *Budget) grow(ctx context.Context, t *Transfer, n int64) error {
	for {
		changed, err := b.tryGrow(t, n)
		if changed == nil {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// tryGrow charges n bytes to a transfer, or ends others and returns a channel that is closed when it may be
// tried again.
func (b *Budget) tryGrow(t *Transfer, n int64) (chan struct{}, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t.progressAt = b.now()
	if t.ended {
		return nil, b.short(true)
	}
	owner, missing := b.missing(t, n)
	if missing <= 0 {
		b.add(t, n)
		return nil, nil
	}
	if !b.makeRoom(t, owner, missing) {
		refused.Inc()
		b.refused++
		b.report()
		return nil, b.short(false)
	}
	return b.changed, nil
}

// short returns the error of a transfer that gets no memory. The caller must hold mu.
func (b *Budget) short(ended bool) error {
	return &ShortError{Ended: ended, Used: b.used, Limit: b.limit}
}

// missing returns how many bytes others must release before a transfer can get n bytes, and which owner's,
// empty if anyone's. The caller must hold mu.
func (b *Budget) missing(t *Transfer, n int64) (owner string, missing int64) {
	if over := b.used + n - b.limit; over > 0 && b.used > t.held {
		return "", over
	}
	for _, o := range t.owners {
		if over := b.owners[o] + n - b.ownerLimit; over > 0 && b.owners[o] > t.held {
			return o, over
		}
	}
	return "", 0
}

// makeRoom ends transfers until what is ended holds the missing bytes, or all that there is to be ended. It
// returns false if nothing that has been ended is still to be released. The caller must hold mu.
func (b *Budget) makeRoom(t *Transfer, owner string, missing int64) bool {
	pending := int64(0)
	for other := range b.transfers {
		if other.ended && other.owned(owner) {
			pending += other.held
		}
	}
	if pending >= missing {
		return true
	}
	for _, victim := range b.victims(t, owner, 1) {
		b.endTransfer(victim)
		endedForMemory.Inc()
		if pending += victim.held; pending >= missing {
			break
		}
	}
	return pending > 0
}

// victims returns the transfers that may be ended and hold at least a number of bytes, without t, the one without
// progress for longest first. The caller must hold mu.
func (b *Budget) victims(t *Transfer, owner string, least int64) []*Transfer {
	var out []*Transfer
	for other := range b.transfers {
		if other != t && other.end != nil && !other.ended && other.held >= least && other.owned(owner) {
			out = append(out, other)
		}
	}
	slices.SortFunc(out, func(x, y *Transfer) int { return cmp.Compare(x.progressAt, y.progressAt) })
	return out
}

// endTransfer ends a transfer. The caller must hold mu.
func (b *Budget) endTransfer(t *Transfer) {
	t.ended = true
	t.end()
	b.ended++
	b.notify()
	b.report()
}

// report logs what has been ended and refused, at most once in logInterval. The caller must hold mu.
func (b *Budget) report() {
	b.logging.Do(func() {
		b.log.WithFields(logrus.Fields{
			"ended": b.ended, "refused": b.refused, "bytes": b.used, "limit": b.limit, "transfers": len(b.transfers),
		}).Warn("budget: transfers ended")
		b.ended, b.refused = 0, 0
	})
}

// add charges n bytes to a transfer and its owners, or releases them if n is negative. The caller must hold mu.
func (b *Budget) add(t *Transfer, n int64) {
	t.held += n
	b.used += n
	bytesHeld.Add(float64(n))
	for _, o := range t.owners {
		if b.owners[o] += n; b.owners[o] == 0 {
			delete(b.owners, o)
		}
	}
	if n < 0 {
		b.notify()
	}
}

// notify wakes the transfers that wait for memory. The caller must hold mu.
func (b *Budget) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}
