package sycgateway

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

var (
	firstTokenSeconds     = metrics.NewHistogram("sycamorecart_first_token_seconds")
	betweenTokensSeconds  = metrics.NewHistogram("sycamorecart_between_tokens_seconds")
	outputTokensTotal     = metrics.NewCounter("sycamorecart_output_tokens_total")
	promptTokensTotal     = metrics.NewCounter("sycamorecart_prompt_tokens_total")
	cachedTokensTotal     = metrics.NewCounter("sycamorecart_cached_tokens_total")
	streamResumesTotal    = metrics.NewCounter("sycamorecart_stream_resumes_total")
	retriesTotal          = metrics.NewCounter("sycamorecart_retries_total")
	deniedRetriesTotal    = metrics.NewCounter("sycamorecart_retries_denied_total")
	crossedResponsesTotal = metrics.NewCounter("sycamorecart_crossed_answers_total")
	brokenStreamsTotal    = metrics.NewCounter("sycamorecart_streams_broken_total")
)

func requestsTotal(route, code string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("sycamorecart_requests_total{route=%q,code=%q}", route, code))
}
