package decide

const (
	// retryTokensPerRequest is the number of retries and hedged requests for each request, in the long run.
	retryTokensPerRequest = .05
	// maxRetryTokens is the number of retries and hedged requests in one burst.
	maxRetryTokens = 10
)

// retryBudget limits retries and hedged requests to a fraction of the requests, so that retries can't
// multiply the overload that caused them. Requests earn tokens. Each retry, each hedged request, and each
// first attempt that overflows to a cache without its key takes one.
type retryBudget struct {
	tokens float64
}

// earn adds what one request earns. The fraction is below 1 during a retry storm, and lowers the maximum too.
func (b *retryBudget) earn(fraction float64) {
	b.tokens = min(b.tokens+retryTokensPerRequest*fraction, maxRetryTokens*fraction)
}

// allows reports whether there is a token for one more attempt.
func (b *retryBudget) allows() bool { return b.tokens >= 1 }

// spend takes the token of an attempt.
func (b *retryBudget) spend() { b.tokens-- }

// provide makes sure that there is a token for one attempt.
func (b *retryBudget) provide() { b.tokens = max(b.tokens, 1) }
