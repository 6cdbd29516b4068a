package decide

import (
	"testing"
)

// TestRetryBudgetLimitsRetries checks that retries stay a fraction of requests. Otherwise, they would multiply the
// overload that causes them.
func TestRetryBudgetLimitsRetries(t *testing.T) {
	h := newHarnessWithoutHealthChecks(t, 8, nil)
	retries := 0
	for id := range int64(200) {
		if h.request(id+1, "read", uint64(id)) != nil {
			if len(sends(h.endAttempt(id+1, 0, Errored, false))) > 0 {
				retries++
			}
		}
	}
	if retries < maxRetryTokens || retries > maxRetryTokens+200*retryTokensPerRequest {
		t.Fatalf("got %d retries of 200 failed attempts, want %d to %v", retries, maxRetryTokens, maxRetryTokens+200*retryTokensPerRequest)
	}
}

// TestRetryBudgetShrinksDuringStorm checks that a retry storm lowers the retry budget immediately, and that requests
// have to earn the budget again afterwards.
func TestRetryBudgetShrinksDuringStorm(t *testing.T) {
	h := newStormHarness(t, RetryStorm{Active: true, RetryBudgetFraction: 0.1})
	h.feed(&Request{ID: 1, Class: "read", Key: 1, HasKey: true, Deadline: h.now + 500*ms})
	if h.router.retryBudget.tokens > 0.1*maxRetryTokens {
		t.Errorf("during a storm: got %.1f tokens, want at most a tenth of the maximum", h.router.retryBudget.tokens)
	}
	h.feed(&RetryStorm{})
	h.feed(&Request{ID: 2, Class: "read", Key: 2, HasKey: true, Deadline: h.now + 500*ms})
	if h.router.retryBudget.tokens > 0.1*maxRetryTokens+1 {
		t.Errorf("after the storm and one request: got %.1f tokens, want at most one more than a tenth of the maximum", h.router.retryBudget.tokens)
	}
}
