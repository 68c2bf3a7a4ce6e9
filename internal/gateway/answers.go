package gateway

import (
	"sync/atomic"

	"github.com/stepcroft/stepcroft/internal/answerbuffer"
)

// answerMemoryPart is the divisor of the router's memory that buffered answers may use: 16 MB
// of 256 MB, enough for 64 answers of the greatest size or for 1,300 of 60 events.
const answerMemoryPart = 16

// answerBuffers is the memory for buffered answers and whether it is in use.
type answerBuffers struct {
	budget  *answerbuffer.Budget
	enabled atomic.Bool
}
