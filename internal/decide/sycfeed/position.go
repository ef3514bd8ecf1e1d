package sycfeed

import (
	"cmp"
	"fmt"
)

// Position is a place in a log that may have been restored from an older copy. A restore begins
// a new era of the log. In it offsets go back and are given out again, so that an offset alone
// says neither which record it means nor which of two records is newer.
type Position struct {
	// Era counts the restores of the log.
	Era int64
	// Offset is the place in the log of this era, from 0.
	Offset int64
}

// Compare returns a negative number if p is before q, a positive one if it is after q, else 0. Every
// position of an era is after all positions of the eras before.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Offset, q.Offset))
}

// Before reports whether p is before q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }

// Plus returns the position a number of records after p in the same era.
func (p Position) Plus(records int) Position {
	return Position{Era: p.Era, Offset: p.Offset + int64(records)}
}

// String returns the era and the offset, for logs.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era, p.Offset) }
