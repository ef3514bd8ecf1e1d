package sycclaims

import (
	"context"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"gopkg.in/tomb.v2"
	"sycamorecart.example/sycamorecart/internal/decide/sycclaim"
	"sycamorecart.example/sycamorecart/internal/ground/sycpause"
	"sycamorecart.example/sycamorecart/internal/port/syclog"
)

var (
	appendsTotal      = metrics.NewCounter("sycamorecart_claim_appends_total")
	appendErrorsTotal = metrics.NewCounter("sycamorecart_claim_append_errors_total")
	recordsTotal      = metrics.NewCounter("sycamorecart_claim_records_total")
	decisionSeconds   = metrics.NewHistogram("sycamorecart_claim_decision_seconds")
)

// Driver makes claims for this VM. Fields below the loop's mark are touched
// only by functions that run on the control loop.
type Driver struct {
	options Options
	tomb    tomb.Tomb
	// wake tells the writer that records are waiting.
	wake chan struct{}

	// The loop's: fold is the state of the stream.
	fold *sycclaim.Claims
	// sequence numbers the claims of this process; it never decreases.
	sequence uint64
	// pending are records that no append has confirmed yet, oldest first.
	pending []sycclaim.Record
	// waiters wait for a change of a name.
	waiters map[string][]*waiter
	own     *ownCalls
	// failing is set while the last append failed. Claims are then refused at
	// once, but for those that try the log again.
	failing bool
}

// New starts a driver.
func New(o Options) (*Driver, error) {
	o.Defaults()
	if err := o.Validate(); err != nil {
		return nil, err
	}
	d := &Driver{
		options: o,
		wake:    make(chan struct{}, 1),
		fold:    sycclaim.New(sycclaim.Settings{Lifetime: o.Lifetime, AnswerBytes: o.AnswerBytes}),
		waiters: map[string][]*waiter{},
		own:     newOwnCalls(o.AnswerBytes),
	}
	d.tomb.Go(func() error {
		d.follow(d.tomb.Context(context.Background()))
		return nil
	})
	d.tomb.Go(func() error {
		d.write(d.tomb.Context(context.Background()))
		return nil
	})
	return d, nil
}

// Close stops the driver after a last append of what is waiting. Requests that
// use claims must have ended.
func (d *Driver) Close() error {
	d.tomb.Kill(nil)
	err := d.tomb.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), d.options.DecisionTimeout)
	defer cancel()
	d.flush(ctx)
	return err
}

const (
	readLimit    = 1000
	readWait     = 5 * time.Second
	readRetry    = 50 * time.Millisecond
	readRetryMax = time.Second
)

// follow reads the stream and folds it on the loop.
func (d *Driver) follow(ctx context.Context) {
	var next uint64
	failures := 0
	for ctx.Err() == nil {
		page, err := d.options.Log.Read(ctx, Stream, next, readLimit, readWait)
		if err != nil {
			failures++
			sycpause.For(ctx, syclog.Jitter(readRetry, readRetryMax, failures))
			continue
		}
		failures = 0
		alive := d.options.Loop.Do(func(now time.Duration) {
			d.apply(now, page)
			next = d.fold.Next()
		})
		if !alive {
			return
		}
	}
}

// apply folds a page and answers those who wait for its names.
func (d *Driver) apply(now time.Duration, page syclog.Page) {
	d.fold.Skip(page.First, time.Now().Add(-d.options.Retention))
	for _, r := range page.Records {
		name := d.fold.Apply(r.Offset, r.Time, r.Data)
		if name == "" {
			continue
		}
		d.disown(r.ID, name)
		d.notify(now, name)
	}
}

// disown releases a claim of this VM's that won after its request had gone.
func (d *Driver) disown(recordID, name string) {
	entry, ok := d.fold.Lookup(name)
	if !ok || entry.ID() != recordID || !d.mine(recordID) {
		return
	}
	if d.own.knows(recordID) || d.waiting(name, recordID) {
		return
	}
	d.enqueue(sycclaim.Record{Kind: sycclaim.KindRelease, Name: name, ID: entry.ID()})
}

// mine reports whether a claim was made by this process.
func (d *Driver) mine(id string) bool {
	prefix := d.options.Incarnation + "/"
	return len(id) > len(prefix) && id[:len(prefix)] == prefix
}

func (d *Driver) waiting(name, id string) bool {
	for _, w := range d.waiters[name] {
		if w.id == id {
			return true
		}
	}
	return false
}

// nextID returns the id of a new claim.
func (d *Driver) nextID() string {
	d.sequence++
	return d.options.Incarnation + "/" + strconv.FormatUint(d.sequence, 10)
}

// enqueue adds a record to the next append.
func (d *Driver) enqueue(r sycclaim.Record) {
	r.Schema = sycclaim.Schema
	d.pending = append(d.pending, r)
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// write appends what is waiting, one append at a time.
func (d *Driver) write(ctx context.Context) {
	gather := d.options.FlushDelay
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		}
		sycpause.For(ctx, max(gather, d.options.AppendInterval-time.Since(last)))
		last = time.Now()
		if d.flush(ctx) {
			gather = max(d.options.FlushDelay, gather/2)
			continue
		}
		gather = min(d.options.MaxFlushDelay, 2*gather)
		d.rouse()
	}
}

// rouse makes the writer try again.
func (d *Driver) rouse() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// flush makes one append and reports whether it worked. Records of an append
// that may have taken effect are appended again: the fold ignores a claim that
// it has already.
func (d *Driver) flush(ctx context.Context) bool {
	var batch []sycclaim.Record
	d.options.Loop.Do(func(time.Duration) {
		batch = append(batch, d.pending[:min(len(d.pending), d.options.MaxBatch)]...)
	})
	if len(batch) == 0 {
		return true
	}
	appendsTotal.Inc()
	ctx, cancel := context.WithTimeout(ctx, d.options.DecisionTimeout)
	defer cancel()
	_, err := d.options.Log.Append(ctx, Stream, entries(batch)...)
	d.options.Loop.Do(func(time.Duration) { d.failing = err != nil })
	if err != nil {
		appendErrorsTotal.Inc()
		logrus.Debugf("claims: append of %d records failed: %s", len(batch), err)
		return false
	}
	recordsTotal.Add(len(batch))
	more := false
	d.options.Loop.Do(func(time.Duration) {
		d.confirm(batch)
		more = len(d.pending) > 0
	})
	if more {
		d.rouse()
	}
	return true
}

// confirm drops appended records from those that are waiting.
func (d *Driver) confirm(batch []sycclaim.Record) {
	done := make(map[recordKey]bool, len(batch))
	for _, r := range batch {
		done[keyOf(r)] = true
	}
	kept := d.pending[:0]
	for _, r := range d.pending {
		if !done[keyOf(r)] {
			kept = append(kept, r)
		}
	}
	clear(d.pending[len(kept):])
	d.pending = kept
}

type recordKey struct {
	kind sycclaim.Kind
	id   string
}

func keyOf(r sycclaim.Record) recordKey { return recordKey{r.Kind, r.ID} }

// forget drops a claim that has not been appended for sure. It may still
// appear in the stream, and is released then.
func (d *Driver) forget(id string) {
	kept := d.pending[:0]
	for _, r := range d.pending {
		if r.ID != id || r.Kind != sycclaim.KindClaim {
			kept = append(kept, r)
		}
	}
	clear(d.pending[len(kept):])
	d.pending = kept
}
