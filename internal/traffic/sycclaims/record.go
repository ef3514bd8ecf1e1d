package sycclaims

import (
	"encoding/json"

	"sycamorecart.example/sycamorecart/internal/decide/sycclaim"
	"sycamorecart.example/sycamorecart/internal/port/syclog"
)

// entries encodes records for the log. The ids of a claim's records differ by
// their kind.
func entries(batch []sycclaim.Record) []syclog.Entry {
	list := make([]syclog.Entry, 0, len(batch))
	for _, r := range batch {
		data, err := json.Marshal(r)
		if err != nil {
			continue
		}
		id := r.ID
		if r.Kind != sycclaim.KindClaim {
			id += "/" + string(r.Kind)
		}
		list = append(list, syclog.Entry{ID: id, Data: data})
	}
	return list
}

// answerRecord leaves out a body that is too long for the log.
func answerRecord(name, id string, a sycclaim.Answer, inline int) sycclaim.Record {
	r := sycclaim.Record{Kind: sycclaim.KindAnswer, Name: name, ID: id, Answer: &a}
	if len(a.Body) > inline {
		a.Body = nil
		r.Partial = true
	}
	return r
}

// ownCall is a call that this VM runs or ran.
type ownCall struct {
	customer string
	id       string
	// done is set once the call has ended, and lost where its outcome is unknown.
	done   bool
	lost   bool
	answer sycclaim.Answer
}

// ownCalls holds this VM's calls. Those that have ended are dropped, oldest
// first, once their answers take too much room.
type ownCalls struct {
	byID  map[string]*ownCall
	ended []*ownCall
	// bytes is the size of the ended calls; at most limit.
	bytes int
	limit int
}

// callOverhead is what an ended call takes besides its body, in bytes.
const callOverhead = 256

func newOwnCalls(limit int) *ownCalls {
	return &ownCalls{byID: map[string]*ownCall{}, limit: limit}
}

func (o *ownCalls) start(c *ownCall) {
	o.byID[c.id] = c
}

func (o *ownCalls) remove(c *ownCall) {
	delete(o.byID, c.id)
}

// knows reports whether the claim was granted here and not released.
func (o *ownCalls) knows(id string) bool {
	_, ok := o.byID[id]
	return ok
}

// finish keeps the answer of a call.
func (o *ownCalls) finish(id string, a sycclaim.Answer, lost bool) {
	c, ok := o.byID[id]
	if !ok || c.done {
		return
	}
	c.done, c.lost, c.answer = true, lost, a
	o.ended = append(o.ended, c)
	o.bytes += callOverhead + len(a.Body)
	for o.bytes > o.limit && len(o.ended) > 0 {
		oldest := o.ended[0]
		o.ended = o.ended[1:]
		o.bytes -= callOverhead + len(oldest.answer.Body)
		o.remove(oldest)
	}
}
