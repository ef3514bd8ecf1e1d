package sycadmit

import (
	"cmp"
	"slices"
	"time"
)

// maxMarks bounds a timeline. Where marks were dropped, times are later than
// they were, which only makes accrual start later.
const maxMarks = 1024

// mark says that the state had reached an offset at a time.
type mark struct {
	next uint64
	at   time.Duration
}

// timeline tells when this VM began to follow a record.
type timeline struct {
	// marks ascend in both fields.
	marks []mark
}

// reach notes that the state now goes up to next.
func (t *timeline) reach(next uint64, now time.Duration) {
	if n := len(t.marks); n > 0 && t.marks[n-1].next >= next {
		return
	}
	t.marks = append(t.marks, mark{next: next, at: now})
	if len(t.marks) > maxMarks {
		t.marks = slices.Delete(t.marks, 0, 1)
	}
}

// since returns when the record at an offset was first followed.
func (t *timeline) since(offset uint64) time.Duration {
	i, _ := slices.BinarySearchFunc(t.marks, offset+1, func(m mark, next uint64) int {
		return cmp.Compare(m.next, next)
	})
	if i == len(t.marks) {
		return noDeadline
	}
	return t.marks[i].at
}
