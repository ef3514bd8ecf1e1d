package sycgateway

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics of the gateway. The histograms leave out the time that clients take to
// accept tokens.
var (
	// firstTokenSeconds is the time from sending an attempt to an engine to its
	// first token.
	firstTokenSeconds = metrics.NewHistogram("sycamorecart_first_token_seconds")
	// betweenTokensSeconds is the time that the gateway waits for each later token.
	betweenTokensSeconds = metrics.NewHistogram("sycamorecart_between_tokens_seconds")
	// outputTokensTotal counts the output tokens of completed generation requests.
	outputTokensTotal = metrics.NewCounter("sycamorecart_output_tokens_total")
	// promptTokensTotal counts the prompt tokens of completed generation requests.
	promptTokensTotal = metrics.NewCounter("sycamorecart_prompt_tokens_total")
	// cachedTokensTotal counts those prompt tokens that the engine reported as
	// cached.
	cachedTokensTotal = metrics.NewCounter("sycamorecart_cached_tokens_total")
	// streamResumesTotal counts attempts that continue a stream, at the same or at
	// another engine.
	streamResumesTotal = metrics.NewCounter("sycamorecart_stream_resumes_total")
	// retriesTotal counts retries that the retry budgets allowed.
	retriesTotal = metrics.NewCounter("sycamorecart_retries_total")
	// deniedRetriesTotal counts retries that the retry budgets denied.
	deniedRetriesTotal = metrics.NewCounter("sycamorecart_retries_denied_total")
	// crossedResponsesTotal counts crossed responses: those of an endpoint that
	// belong to another attempt than the one sent.
	crossedResponsesTotal = metrics.NewCounter("sycamorecart_crossed_answers_total")
	// brokenStreamsTotal counts responses to clients that were broken off after
	// they had started.
	brokenStreamsTotal = metrics.NewCounter("sycamorecart_streams_broken_total")
)

// requestsTotal returns the counter of requests that ended on a route with a
// failure code, or with "ok".
func requestsTotal(route, code string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("sycamorecart_requests_total{route=%q,code=%q}", route, code))
}
