package sycadmit

import (
	"cmp"
	"slices"
	"time"
)

// maxMarks limits the marks of a timeline. For records whose mark was dropped, appliedAt
// returns a later time than the true one, which only makes accrual start later.
const maxMarks = 1024

// mark is a time at which this VM had applied all records before an offset.
type mark struct {
	// next is the offset after the last applied record.
	next uint64
	// at is a time on the control loop.
	at time.Duration
}

// timeline records when this VM applied the records of a stream. A customer's
// permits accrue at the earliest from the time at which its record was applied.
type timeline struct {
	// marks is in ascending order of both fields.
	marks []mark
}

// record adds the mark that all records before the offset next are applied.
func (t *timeline) record(next uint64, now time.Duration) {
	if n := len(t.marks); n > 0 && t.marks[n-1].next >= next {
		return
	}
	t.marks = append(t.marks, mark{next: next, at: now})
	if len(t.marks) > maxMarks {
		t.marks = slices.Delete(t.marks, 0, 1)
	}
}

// appliedAt returns when this VM applied the record at an offset, or noDeadline if it
// hasn't yet.
func (t *timeline) appliedAt(offset uint64) time.Duration {
	i, _ := slices.BinarySearchFunc(t.marks, offset+1, func(m mark, next uint64) int {
		return cmp.Compare(m.next, next)
	})
	if i == len(t.marks) {
		return noDeadline
	}
	return t.marks[i].at
}
