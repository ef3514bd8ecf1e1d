package sycload

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"sycamorecart.example/sycamorecart/internal/ground/sycpause"
)

const (
	// headerWeights is the response header with the weights that generate the response.
	headerWeights = "Sycamorecart-Weights"
	// headerStream is the header with the id of a stream: routers set it in responses,
	// clients send it to resume the stream.
	headerStream = "Sycamorecart-Stream"
	// headerLastEvent is the request header with the id of the last event received of
	// the stream to resume.
	headerLastEvent = "Last-Event-ID"
	// maxResumes limits the attempts to resume one interrupted stream.
	maxResumes = 5
	// resumePause is the time between the end of a connection and the next attempt to
	// resume its stream.
	resumePause = 200 * time.Millisecond
	// resumeReason begins the reason of a stream that no router resumed.
	resumeReason = "resume: "
)

// KeyRefusedReason is the reason of an exchange whose stream wasn't resumed because a
// router refused the customer's key.
const KeyRefusedReason = resumeReason + "401 invalid_key"

// resume resumes an interrupted stream through other routers until the response has
// ended, maxResumes is reached or a router refuses the key. Responses without a stream id
// aren't resumed.
func (x *modelExchange) resume(ctx context.Context, path string, data []byte) {
	if x.arrival.kind == chatUnary || x.stream == "" {
		return
	}
	stream := x.stream
	for n := 1; n <= maxResumes && x.outcome.verdict == Failed; n++ {
		if !sycpause.For(ctx, resumePause) {
			return
		}
		next := *x.arrival
		next.router += n
		x.sentAt = time.Now()
		response, err := x.runner.post(ctx, &next, path, data, x.resumeHeader(stream))
		if err != nil {
			continue
		}
		x.outcome.resumes++
		if response.StatusCode != http.StatusOK {
			x.outcome.reason = resumeReason + readFailure(response).reason
			_ = response.Body.Close()
			if response.StatusCode == http.StatusUnauthorized {
				return
			}
			continue
		}
		x.outcome.resumedAt = x.sentAt
		x.read(response)
	}
}

// resumeHeader returns the headers that ask for the events of the stream after those
// received.
func (x *modelExchange) resumeHeader(stream string) http.Header {
	header := http.Header{headerStream: {stream}}
	if n := len(x.tokens); n > 0 {
		header[headerLastEvent] = []string{strconv.Itoa(n - 1)}
	}
	return header
}
