package sycfeed

import "time"

// Record is one record of the log.
type Record struct {
	// Position is the record's place in the log.
	Position Position
	// Key names the entry that the record sets or deletes.
	Key string
	// Value is the content of the entry. It is empty in the deletion of a key.
	Value []byte
	// Inferred is set if there is no such record: a restored log holds nothing newer of the
	// key up to the position.
	Inferred bool
}

// Change is a record that became the newest of its key.
type Change struct {
	Record
	// Deleted is set if the record deletes its key.
	Deleted bool
	// Repeats is set if the record has the same value as the one of an earlier era that it
	// replaces.
	Repeats bool
}

// DeletionDelay sets how long deletions are delayed after an outage of the log. During an
// outage the owners of keys can't write, so keys may be deleted whose owners still exist.
// A deletion is discarded if the key's owner writes it again during the delay. An era begins
// with the end of an outage.
type DeletionDelay struct {
	// AfterOutage is how long after the end of the outage deletions are delayed, so that
	// the owners can write their keys again.
	AfterOutage time.Duration
	// NewDeletion limits the delay of a deletion that comes after the end of the outage,
	// since such a deletion is probably not caused by the outage.
	NewDeletion time.Duration
	// AfterRestore is how long after a new era began the content that a restored log lacks
	// is kept, so that the owners can write it again.
	AfterRestore time.Duration
	// Revival is how long after a new era began a key stays deleted whose deletion a restored
	// log lacks.
	Revival time.Duration
	// KeepLost keeps what a restored log certainly lacks until its owner writes the key again.
	KeepLost bool
}

// delayedChange is a deletion, or an inferred record, that is applied at the time due.
type delayedChange struct {
	record Record
	// due is when the change is applied.
	due time.Duration
	// uncertain is set if this VM couldn't tell whether the restored log lacks a record.
	uncertain bool
}
