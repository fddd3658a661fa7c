package store

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// retryShare is the number of retries that each read adds to the budget.
	retryShare = 0.2
	// retryReserve is the maximum budget, in retries.
	retryReserve = 3
	// retryBase is the maximum delay before the first retry. It doubles with each
	// further retry up to retryMax.
	retryBase   = 50 * time.Millisecond
	retryMax    = 2 * time.Second
	maxAttempts = 4
)

// retryBudget allows retries as a share of the first attempts of reads, so that an
// outage does not multiply the calls.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
	rand   *rand.Rand
}

func newRetryBudget(seed uint64) *retryBudget {
	return &retryBudget{
		tokens: retryReserve,
		rand:   rand.New(rand.NewPCG(seed, 1)),
	}
}

func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryShare, retryReserve)
}

// spend returns the delay before a retry, or false when the budget is empty.
func (b *retryBudget) spend(attempt int) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return 0, false
	}
	b.tokens--
	limit := min(retryBase<<attempt, retryMax)
	return time.Duration(b.rand.Int64N(int64(limit))) + 1, true
}

// retry runs a read and repeats it after transient errors, up to maxAttempts and as
// far as the budget allows.
func (c *Client) retry(ctx context.Context, f func(context.Context) error) error {
	c.budget.earn()
	for i := 0; ; i++ {
		err := c.attempt(ctx, f)
		if err == nil || !transient(err) || i+1 >= maxAttempts {
			return err
		}
		d, ok := c.budget.spend(i)
		if !ok {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(d):
		}
	}
}

func (c *Client) attempt(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := WithStallTimeout(ctx, c.config.Timeout)
	defer cancel()
	return f(ctx)
}

func transient(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrThrottled)
}
