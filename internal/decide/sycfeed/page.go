package sycfeed

import "time"

// maxInferences limits the inferred records in a Page that come out of turn.
const maxInferences = 50

// Page is what a VM sends another one of a topic.
type Page struct {
	// Records are the records from the position on that the other VM wants.
	Records []Record
	// Next is the position before which the other VM then has every record.
	Next Position
	// Complete is set if these are all records that the VM has from there on.
	Complete bool
	// Snapshot is set if these are the records of all keys that exist before Next, since the VM
	// doesn't know every deletion from the position on.
	Snapshot bool
}

// Page returns records from a position on for another VM, about count of them if there are more.
// It adds some inferred records before the position, which the other VM may have passed before
// they were inferred.
func (t *Topic) Page(from Position, count int) Page {
	out := Page{Next: t.Told(), Complete: true}
	if from.Before(t.deletionsFrom) && from.Before(t.next) {
		out.Records, out.Snapshot = t.Since(Position{}), true
		return out
	}
	if from.Before(t.next) {
		out.Records = t.Since(from)
	}
	// Several inferred records have the same position.
	for count < len(out.Records) && out.Records[count-1].Position == out.Records[count].Position {
		count++
	}
	if count < len(out.Records) {
		out.Records, out.Complete = out.Records[:count], false
		if end := out.Records[count-1].Position.Plus(1); end.Before(out.Next) {
			out.Next = end
		}
	}
	out.Records = append(out.Records, t.inferences(from)...)
	return out
}

// ApplyPage applies a page that another VM has sent, and returns the changes like Apply. Keys that are missing from
// a snapshot were deleted before its end, but for those of an earlier era, which the log may lack.
func (t *Topic) ApplyPage(now time.Duration, p Page) []Change {
	records := p.Records
	if p.Snapshot && p.Next.Era == t.era && t.next.Before(p.Next) {
		present := map[string]bool{}
		for _, r := range records {
			present[r.Key] = true
		}
		for key, r := range t.records {
			if !present[key] && len(r.Value) > 0 && r.Position.Era == p.Next.Era && r.Position.Before(p.Next) {
				records = append(records, Record{Position: p.Next.Plus(-1), Key: key})
			}
		}
		return t.applySnapshot(p.Next, func() []Change { return t.Apply(now, records, p.Next) })
	}
	return t.Apply(now, records, p.Next)
}

// applySnapshot applies the records of a snapshot that ends at a position. They count whatever the copy lacked.
func (t *Topic) applySnapshot(end Position, apply func() []Change) []Change {
	if t.next.Before(end) {
		t.deletionsFrom = Position{}
	}
	out := apply()
	t.deletionsFrom = latest(t.deletionsFrom, end)
	return out
}

// inferences returns inferred records before a position that are delayed or have recently become the
// newest of their keys.
func (t *Topic) inferences(before Position) []Record {
	var out []Record
	add := func(r Record) {
		if r.Inferred && r.Position.Before(before) && len(out) < maxInferences {
			out = append(out, r)
		}
	}
	for _, d := range t.delayed {
		if !d.uncertain {
			add(d.record)
		}
	}
	for key := range t.recent {
		add(t.records[key])
	}
	return out
}
