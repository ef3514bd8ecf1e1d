package sycload

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"sycamorecart.example/sycamorecart/internal/ground/sycpause"
)

const (
	headerWeights   = "Sycamorecart-Weights"
	headerStream    = "Sycamorecart-Stream"
	headerLastEvent = "Last-Event-ID"
	// maxResumes bounds how often a broken stream is resumed.
	maxResumes = 5
	// resumePause is the time between the end of a connection and a resume.
	resumePause = 200 * time.Millisecond
)

// resume goes on with a stream whose connection broke, through the other routers.
func (x *exchange) resume(ctx context.Context, path string, data []byte) {
	if x.arrival.form == chatWhole || x.stream == "" {
		return
	}
	stream := x.stream
	for n := 1; n <= maxResumes && x.o.verdict == Failed; n++ {
		if !sycpause.For(ctx, resumePause) {
			return
		}
		next := *x.arrival
		next.router += n
		response, err := x.runner.post(ctx, &next, path, data, x.resumeHeader(stream))
		if err != nil {
			continue
		}
		x.o.resumes++
		if response.StatusCode != http.StatusOK {
			x.o.reason = "resume: " + failure(response).reason
			_ = response.Body.Close()
			continue
		}
		x.read(response)
	}
}

func (x *exchange) resumeHeader(stream string) http.Header {
	header := http.Header{headerStream: {stream}}
	if n := len(x.tokens); n > 0 {
		header[headerLastEvent] = []string{strconv.Itoa(n - 1)}
	}
	return header
}
