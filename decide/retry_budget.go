package decide

const (
	// retryTokensPerRequest is the long-term number of retries and hedged requests per request.
	retryTokensPerRequest = .05
	// maxRetryTokens is the maximum number of retries and hedged requests in one burst.
	maxRetryTokens = 10
)

// retryBudget limits retries and hedged requests to a fraction of the requests, so that retries cannot
// multiply the overload that caused them. Requests earn tokens. Each retry, each hedged request, and each
// first attempt that overflows to a cache without its key uses one token.
type retryBudget struct {
	tokens float64
}

// earn adds the tokens that one request earns. During a retry storm the fraction is below 1 and also lowers
// the maximum.
func (b *retryBudget) earn(fraction float64) {
	b.tokens = min(b.tokens+retryTokensPerRequest*fraction, maxRetryTokens*fraction)
}

// allows reports whether there is a token for one more attempt.
func (b *retryBudget) allows() bool { return b.tokens >= 1 }

// spend removes the token of an attempt.
func (b *retryBudget) spend() { b.tokens-- }

// provide ensures that there is a token for one attempt.
func (b *retryBudget) provide() { b.tokens = max(b.tokens, 1) }
