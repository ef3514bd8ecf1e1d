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
	// appendsTotal counts the attempted appends.
	appendsTotal = metrics.NewCounter("sycamorecart_claim_appends_total")
	// appendErrorsTotal counts the appends that failed.
	appendErrorsTotal = metrics.NewCounter("sycamorecart_claim_append_errors_total")
	// recordsTotal counts the appended records.
	recordsTotal = metrics.NewCounter("sycamorecart_claim_records_total")
	// decisionSeconds is the time from a request's claim to its decision, in seconds.
	decisionSeconds = metrics.NewHistogram("sycamorecart_claim_decision_seconds")
)

// Driver makes claims for this VM.
type Driver struct {
	// options holds the options with their defaults set.
	options Options
	// tomb stops the goroutines that read and write the stream.
	tomb tomb.Tomb
	// wake tells the writing goroutine that records are pending.
	wake chan struct{}

	// The fields below may only be used on the control loop.

	// claims holds the claims that are in force, as far as the stream has been read.
	claims *sycclaim.Claims
	// sequence is the number of claims that this process has made. It is part of their ids.
	sequence uint64
	// pending holds the records that no append has confirmed yet, oldest first.
	pending []sycclaim.Record
	// waiters holds the requests that wait for a decision, by the name of their claim.
	waiters map[string][]*waiter
	// own holds the calls that this VM runs or ran.
	own *ownCalls
	// failing is set if the last append failed. New claims then fail at once, except for
	// one that tests whether the log works again.
	failing bool
}

// New returns a running Driver.
func New(o Options) (*Driver, error) {
	o.Defaults()
	if err := o.Validate(); err != nil {
		return nil, err
	}
	d := &Driver{
		options: o,
		wake:    make(chan struct{}, 1),
		claims:  sycclaim.New(sycclaim.Settings{Lifetime: o.Lifetime, AnswerBytes: o.AnswerBytes}),
		waiters: map[string][]*waiter{},
		own:     newOwnCalls(o.AnswerBytes),
	}
	d.tomb.Go(func() error {
		d.readStream(d.tomb.Context(context.Background()))
		return nil
	})
	d.tomb.Go(func() error {
		d.writeStream(d.tomb.Context(context.Background()))
		return nil
	})
	return d, nil
}

// Close stops the driver after a last append of pending records. Requests that use claims must
// have ended.
func (d *Driver) Close() error {
	d.tomb.Kill(nil)
	err := d.tomb.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), d.options.DecisionTimeout)
	defer cancel()
	d.flush(ctx)
	return err
}

const (
	// readLimit limits the records of one read.
	readLimit = 1000
	// readWait is how long the log may hold a read that finds no new records.
	readWait = 5 * time.Second
	// readRetry is the longest delay before a read is retried after its first failure. The
	// delay is random, and its upper bound doubles with each further failure.
	readRetry = 50 * time.Millisecond
	// readRetryMax limits the upper bound of the delay before a read is retried.
	readRetryMax = time.Second
)

// readStream reads the stream from its start and applies its records on the control loop, until
// the context ends.
func (d *Driver) readStream(ctx context.Context) {
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
			d.applyPage(now, page)
			next = d.claims.Next()
		})
		if !alive {
			return
		}
	}
}

// applyPage applies the records that one read returned, and notifies the waiters of the records'
// names.
func (d *Driver) applyPage(now time.Duration, page syclog.Page) {
	d.claims.Skip(page.First, time.Now().Add(-d.options.Retention))
	for _, r := range page.Records {
		name := d.claims.Apply(r.Offset, r.Time, r.Data)
		if name == "" {
			continue
		}
		d.releaseUnused(r.ID, name)
		d.notify(now, name)
	}
}

// releaseUnused releases a claim of this process that won after its request stopped waiting.
func (d *Driver) releaseUnused(recordID, name string) {
	entry, ok := d.claims.Lookup(name)
	if !ok || entry.ID() != recordID || !d.isOwn(recordID) {
		return
	}
	if d.own.has(recordID) || d.hasWaiter(name, recordID) {
		return
	}
	d.enqueue(sycclaim.Record{Kind: sycclaim.KindRelease, Name: name, ID: entry.ID()})
}

// isOwn reports whether this process made the claim with an id.
func (d *Driver) isOwn(id string) bool {
	prefix := d.options.Incarnation + "/"
	return len(id) > len(prefix) && id[:len(prefix)] == prefix
}

// hasWaiter reports whether a request waits for the decision on its claim with a name and an id.
func (d *Driver) hasWaiter(name, id string) bool {
	for _, w := range d.waiters[name] {
		if w.id == id {
			return true
		}
	}
	return false
}

// nextID returns the id for a new claim, which is unique over all VMs.
func (d *Driver) nextID() string {
	d.sequence++
	return d.options.Incarnation + "/" + strconv.FormatUint(d.sequence, 10)
}

// enqueue adds a record to the pending ones and wakes the writing goroutine.
func (d *Driver) enqueue(r sycclaim.Record) {
	r.Schema = sycclaim.Schema
	d.pending = append(d.pending, r)
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// writeStream appends the pending records, one append at a time, until the context ends.
func (d *Driver) writeStream(ctx context.Context) {
	delay := d.options.FlushDelay
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		}
		sycpause.For(ctx, max(delay, d.options.AppendInterval-time.Since(last)))
		last = time.Now()
		if d.flush(ctx) {
			delay = max(d.options.FlushDelay, delay/2)
			continue
		}
		delay = min(d.options.MaxFlushDelay, 2*delay)
		d.wakeWriter()
	}
}

// wakeWriter makes the writing goroutine append again.
func (d *Driver) wakeWriter() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// flush makes one append of up to MaxBatch pending records and reports whether it succeeded or
// had nothing to append. Records of a failed append stay pending and are appended again. That is
// safe if the log has them already, because readers ignore repeated records.
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
		d.wakeWriter()
	}
	return true
}

// confirm removes appended records from the pending ones.
func (d *Driver) confirm(batch []sycclaim.Record) {
	appended := make(map[recordKey]bool, len(batch))
	for _, r := range batch {
		appended[keyOf(r)] = true
	}
	kept := d.pending[:0]
	for _, r := range d.pending {
		if !appended[keyOf(r)] {
			kept = append(kept, r)
		}
	}
	clear(d.pending[len(kept):])
	d.pending = kept
}

// recordKey identifies a record of this process.
type recordKey struct {
	// kind says what the record does, such as making a claim.
	kind sycclaim.Kind
	// id is the id of the claim that the record concerns.
	id string
}

// keyOf returns the key of a record.
func keyOf(r sycclaim.Record) recordKey { return recordKey{r.Kind, r.ID} }

// dropClaim removes a claim from the pending records. If an append of the claim has begun
// before, the claim may still appear in the stream, and releaseUnused then releases it.
func (d *Driver) dropClaim(id string) {
	kept := d.pending[:0]
	for _, r := range d.pending {
		if r.ID != id || r.Kind != sycclaim.KindClaim {
			kept = append(kept, r)
		}
	}
	clear(d.pending[len(kept):])
	d.pending = kept
}
