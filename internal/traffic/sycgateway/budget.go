package sycgateway

// countRequest counts the request once in the retry budgets of its customer and of
// the first selected endpoint. A retry budget allows retries as a fraction of
// recent requests.
func (x *exchange) countRequest(endpoint string) {
	if x.retryCounted {
		return
	}
	x.retryCounted = true
	g := x.g
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.customerRetries.Get(now, x.customer()).Request(now)
	g.endpointRetries.Get(now, endpoint).Request(now)
}

// spendRetry takes a retry from the budgets of the customer and of the failed
// endpoint. It reports false, and takes none, if either budget is used up.
func (x *exchange) spendRetry(endpoint string) bool {
	g := x.g
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	customer := g.customerRetries.Get(now, x.customer())
	target := g.endpointRetries.Get(now, endpoint)
	if !customer.Allows(now) || !target.Allows(now) {
		deniedRetriesTotal.Inc()
		return false
	}
	customer.Spend(now)
	target.Spend(now)
	retriesTotal.Inc()
	return true
}
