package sycclaims

import (
	"encoding/json"

	"sycamorecart.example/sycamorecart/internal/decide/sycclaim"
	"sycamorecart.example/sycamorecart/internal/port/syclog"
)

// entries encodes records as entries of the log. The id of an entry is the claim's id, to
// which the kind is added except for the claim itself.
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

// answerRecord returns the record of a call's response. It omits a body of more than maxBody
// bytes.
func answerRecord(name, id string, a sycclaim.Answer, maxBody int) sycclaim.Record {
	r := sycclaim.Record{Kind: sycclaim.KindAnswer, Name: name, ID: id, Answer: &a}
	if len(a.Body) > maxBody {
		a.Body = nil
		r.Partial = true
	}
	return r
}

// ownCall is a call that this VM runs or ran.
type ownCall struct {
	// customer is the name of the customer whose call it is. Only requests of the same
	// customer may get the response.
	customer string
	// id identifies the claim that won.
	id string
	// done is set once the call has ended.
	done bool
	// lost is set if the call has ended with an unknown outcome.
	lost bool
	// answer is the call's response. It is set if the call is done and not lost.
	answer sycclaim.Answer
}

// ownCalls holds the calls that this VM runs or ran. It removes the calls that ended first
// when the ended ones take more memory than the limit.
type ownCalls struct {
	// byID holds the calls by the id of their claim.
	byID map[string]*ownCall
	// ended holds the calls that have ended, in the order in which they ended.
	ended []*ownCall
	// bytes is the estimated memory of the ended calls, at most limit.
	bytes int
	// limit limits the estimated memory of the ended calls, in bytes. Running calls don't
	// count.
	limit int
}

// callOverhead estimates the memory of an ended call without its response body, in bytes.
const callOverhead = 256

// newOwnCalls returns an empty collection with a limit in bytes.
func newOwnCalls(limit int) *ownCalls {
	return &ownCalls{byID: map[string]*ownCall{}, limit: limit}
}

// start adds a call that may run now.
func (o *ownCalls) start(c *ownCall) {
	o.byID[c.id] = c
}

// remove removes a call from the lookup by id.
func (o *ownCalls) remove(c *ownCall) {
	delete(o.byID, c.id)
}

// has reports whether the call with a claim's id runs or ran here and hasn't been removed.
func (o *ownCalls) has(id string) bool {
	_, ok := o.byID[id]
	return ok
}

// finish records that a call has ended, with its response or with an unknown outcome. It removes
// the oldest ended calls if they take more memory than the limit.
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
