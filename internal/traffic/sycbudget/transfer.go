package sycbudget

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"time"
)

const (
	// firstSegment and maxSegment limit the bytes that are charged and read into at a time, if the body's
	// length isn't known to be smaller.
	firstSegment, maxSegment = 512, 64 << 10
)

// spare holds segments of maxSegment bytes for reuse. Without it, bodies that are ended leave as much garbage as
// the budget allows to be held.
var spare = sync.Pool{New: func() any { return new([maxSegment]byte) }}

// Transfer is a body that is being read or held. Its methods are for one goroutine.
type Transfer struct {
	budget *Budget
	// owners are those whose share the transfer is charged to.
	owners []string
	// end makes reads of the transfer fail, nil if the transfer can't be ended or can't any more.
	end func()
	// held is the number of bytes charged.
	held int64
	// progressAt is when bytes last arrived.
	progressAt time.Duration
	// ended is set once end has been called.
	ended bool
}

// ReadAll reads a body until its end and returns it. Size is its stated length, negative if that is unknown; it
// only avoids segments that are too large. The memory stays charged until Close. Afterwards the budget doesn't end
// the transfer any more. The error is a *ShortError, or that of the context or of r.
func (t *Transfer) ReadAll(ctx context.Context, r io.Reader, size int64) ([]byte, error) {
	s := &segments{transfer: t, size: size}
	err := s.read(ctx, r)
	if err == nil && t.complete() {
		return s.join(), nil
	}
	s.drop()
	return nil, t.cause(err)
}

// ReadSome reads at most limit bytes of a body, and less if there is no memory for more. It returns what it has
// read and whether that is the whole body. The memory stays charged until Close. The error is that of the
// context or of r.
func (t *Transfer) ReadSome(ctx context.Context, r io.Reader, limit int64) (body []byte, whole bool, err error) {
	s := &segments{transfer: t, size: -1}
	err = s.read(ctx, io.LimitReader(r, limit))
	var short *ShortError
	if err != nil && !errors.As(err, &short) {
		s.drop()
		return nil, false, err
	}
	body = s.join()
	return body, short == nil && int64(len(body)) < limit, nil
}

// Discard reads and drops at most limit bytes of a body. The budget may end it in order to free the connection.
func (t *Transfer) Discard(r io.Reader, limit int64) {
	buffer := make([]byte, firstSegment)
	for limit > 0 {
		n, err := r.Read(buffer)
		t.touch()
		if limit -= int64(n); err != nil {
			return
		}
		if n == len(buffer) && n < maxSegment/2 {
			buffer = make([]byte, 2*n)
		}
	}
}

// Close releases what the transfer holds. The budget doesn't end it any more.
func (t *Transfer) Close() {
	b := t.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	t.end = nil
	delete(b.transfers, t)
	if t.held > 0 {
		b.add(t, -t.held)
	}
}

// owned reports whether the transfer is one of an owner's, or the owner is empty.
func (t *Transfer) owned(owner string) bool { return owner == "" || slices.Contains(t.owners, owner) }

// touch records that bytes have arrived.
func (t *Transfer) touch() {
	t.budget.mu.Lock()
	defer t.budget.mu.Unlock()
	t.progressAt = t.budget.now()
}

// complete makes the budget not end the transfer any more. It returns false if it has been ended.
func (t *Transfer) complete() bool {
	t.budget.mu.Lock()
	defer t.budget.mu.Unlock()
	t.end = nil
	return !t.ended
}

// cause returns a *ShortError in place of an error that is due to the end of the transfer.
func (t *Transfer) cause(err error) error {
	t.budget.mu.Lock()
	defer t.budget.mu.Unlock()
	if t.ended {
		return t.budget.short(true)
	}
	return err
}

// release releases n bytes.
func (t *Transfer) release(n int64) {
	t.budget.mu.Lock()
	defer t.budget.mu.Unlock()
	t.budget.add(t, -n)
}

// segments reads a body in segments that are charged before they are allocated. A growing buffer would copy and
// double what it holds for unfinished bodies.
type segments struct {
	transfer *Transfer
	// size is the body's stated length, negative if that is unknown.
	size int64
	// total is the number of bytes read, charged the sum of the segments' capacities.
	total, charged int64
	list           [][]byte
}

// read reads until the end of r.
func (s *segments) read(ctx context.Context, r io.Reader) error {
	for {
		if n := len(s.list); n == 0 || len(s.list[n-1]) == cap(s.list[n-1]) {
			if err := s.extend(ctx); err != nil {
				return err
			}
		}
		last := &s.list[len(s.list)-1]
		n, err := r.Read((*last)[len(*last):cap(*last)])
		*last = (*last)[:len(*last)+n]
		s.total += int64(n)
		s.transfer.touch()
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// extend adds a segment.
func (s *segments) extend(ctx context.Context) error {
	n := min(max(firstSegment, s.total), maxSegment)
	if s.size > s.total {
		n = min(s.size-s.total, maxSegment)
	}
	if err := s.transfer.budget.grow(ctx, s.transfer, n); err != nil {
		return err
	}
	s.charged += n
	if n == maxSegment {
		s.list = append(s.list, spare.Get().(*[maxSegment]byte)[:0])
	} else {
		s.list = append(s.list, make([]byte, 0, n))
	}
	return nil
}

// join returns the body in one piece. Only one body is copied at a time, since the copy isn't charged in addition to the
// segments that it replaces.
func (s *segments) join() []byte {
	switch len(s.list) {
	case 0:
		return nil
	case 1:
		return s.list[0]
	}
	s.transfer.budget.joining.Lock()
	defer s.transfer.budget.joining.Unlock()
	body := slices.Concat(s.list...)
	s.drop()
	s.transfer.release(s.charged - s.total)
	return body
}

// drop makes the segments reusable. Nothing may refer to them afterwards.
func (s *segments) drop() {
	for _, segment := range s.list {
		if cap(segment) == maxSegment {
			spare.Put((*[maxSegment]byte)(segment[:maxSegment]))
		}
	}
	s.list = nil
}
