package retrybudget_test

import (
	"fmt"
	"time"

	"github.com/stepcroft/stepcroft/internal/retrybudget"
)

func ExampleBudget() {
	now := time.Now()
	b := retrybudget.New(now, retrybudget.Limits{Ratio: 0.2, Slack: 2, Window: 10 * time.Second})
	const routers, percent = 2, 100
	for range 5 {
		b.CountRequest(now, "quotes")
	}
	for b.Allows(now, "quotes", routers, percent) {
		b.CountRetry(now, "quotes")
		fmt.Println("retry")
	}
	// Output:
	// retry
	// retry
}
