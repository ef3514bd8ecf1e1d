package sycgateway

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics of the gateway. The histograms measure one engine's attempt, without the
// time that the client takes to accept tokens.
var (
	// Time from sending an attempt to its first token, and time between tokens.
	firstTokenSeconds    = metrics.NewHistogram("sycamorecart_first_token_seconds")
	betweenTokensSeconds = metrics.NewHistogram("sycamorecart_between_tokens_seconds")
	// Tokens of completed generation requests: output, prompt, and the part of the
	// prompt that the engine had cached.
	outputTokensTotal = metrics.NewCounter("sycamorecart_output_tokens_total")
	promptTokensTotal = metrics.NewCounter("sycamorecart_prompt_tokens_total")
	cachedTokensTotal = metrics.NewCounter("sycamorecart_cached_tokens_total")
	// Attempts that continue a stream, at the same or at another engine.
	streamResumesTotal = metrics.NewCounter("sycamorecart_stream_resumes_total")
	// Retries that the retry budgets allowed, and those that they denied.
	retriesTotal       = metrics.NewCounter("sycamorecart_retries_total")
	deniedRetriesTotal = metrics.NewCounter("sycamorecart_retries_denied_total")
	// Responses that belong to another attempt than the one that was sent.
	crossedResponsesTotal = metrics.NewCounter("sycamorecart_crossed_answers_total")
	// Responses that were broken off after they had started.
	brokenStreamsTotal = metrics.NewCounter("sycamorecart_streams_broken_total")
)

// requestsTotal returns the counter of requests that ended on a route with a
// failure code, or with "ok".
func requestsTotal(route, code string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("sycamorecart_requests_total{route=%q,code=%q}", route, code))
}
