package sycwire

import (
	"fmt"
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

const (
	// maxStrayResponses limits how many responses to other requests are discarded
	// while waiting for the matching one.
	maxStrayResponses = 2
	// maxStrayBody limits the body of a response to another request that is discarded, in bytes.
	maxStrayBody = 256 << 10
)

// strayReason says why a response that arrives after a request isn't the response to it.
type strayReason string

// Reasons for which responses are discarded.
const (
	// notStray is the reason of a response that isn't discarded.
	notStray strayReason = ""
	// otherID means that the response bears the ID of another request.
	otherID strayReason = "other_id"
	// missingID means that the response bears no ID although responses of its kind do.
	missingID strayReason = "missing_id"
)

// checkStray returns why a response can't be the one to a request, notStray if it is. A response
// that is the connection's first is no copy of another.
func (k *conn) checkStray(r *Request, h http.Header) strayReason {
	if r.Identify == nil {
		return notStray
	}
	identity := r.Identify(h)
	switch {
	case identity.ID != "" && identity.ID != r.ID:
		return otherID
	case identity.ID == "" && identity.Required && k.responses > 0:
		return missingID
	}
	return notStray
}

// recordStray logs and counts a discarded response.
func (k *conn) recordStray(r *Request, response *http.Response, reason strayReason) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`sycamorecart_endpoint_answers_discarded_total{reason=%q}`, reason)).Inc()
	logrus.WithFields(logrus.Fields{
		"part": "wire", "id": r.ID, "target": r.Target, "address": r.Address, "conn": k.number, "answers": k.responses,
		"answer_id": r.Identify(response.Header).ID, "status": response.StatusCode, "reason": reason,
	}).Warn("wire: answer to another request discarded")
}

// discardStray discards the body of a response to another request.
func discardStray(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxStrayBody+1))
	if n > maxStrayBody {
		return &TooLongError{Part: "body of another response", Limit: maxStrayBody}
	}
	return err
}
