package decide

import (
	"testing"
)

// TestRetryBudgetLimitsRetries checks that retries stay a fraction of requests, so that they can't multiply
// the overload that caused them.
func TestRetryBudgetLimitsRetries(t *testing.T) {
	b := newHarnessWithoutHealthChecks(t, 8, nil)
	n := 0
	for id := range int64(200) {
		if b.request(id+1, "read", uint64(id)) != nil {
			if len(sends(b.end(id+1, 0, Errored, false))) > 0 {
				n++
			}
		}
	}
	if n < maxRetryTokens || n > maxRetryTokens+200*retryTokensPerRequest {
		t.Fatalf("%d retries of 200 failures", n)
	}
}

// TestRetryBudgetShrinksDuringStorm checks that a storm lowers the budget at once, and that it is earned
// again afterwards.
func TestRetryBudgetShrinksDuringStorm(t *testing.T) {
	b := newStormHarness(t, RetryStorm{Active: true, RetryBudgetFraction: 0.1})
	b.feed(&Request{ID: 1, Class: "read", Key: 1, HasKey: true, Deadline: b.now + 500*ms})
	if b.r.retryBudget.tokens > 0.1*maxRetryTokens {
		t.Errorf("a budget of %.1f is left", b.r.retryBudget.tokens)
	}
	b.feed(&RetryStorm{})
	b.feed(&Request{ID: 2, Class: "read", Key: 2, HasKey: true, Deadline: b.now + 500*ms})
	if b.r.retryBudget.tokens > 0.1*maxRetryTokens+1 {
		t.Errorf("the budget is full again at once: %.1f", b.r.retryBudget.tokens)
	}
}
