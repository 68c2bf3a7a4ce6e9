package httpcaller

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/request"
)

const (
	// maxBody is the maximum size of a request body, in bytes.
	maxBody = 1 << 20
	// defaultDeadline applies if the caller sets no deadline.
	defaultDeadline = 60 * time.Second
	// maxDeadline is the longest deadline that a caller may set.
	maxDeadline = 30 * time.Minute
	maxPriority = 9
	// maxCostHint is the largest cost hint, in generated tokens.
	maxCostHint = 1e6
)

// requestOptions are the settings of a request that the caller gives in headers.
type requestOptions struct {
	deadline   time.Time
	repeatable bool
	priority   int
	// costHint is the caller's estimate of the cost, in generated tokens; 0 means none.
	costHint float64
	// id is the id that the caller reserved, or nil.
	id *request.ID
}

// parseOptions reads the options from the headers. repeatable is the default of the option of
// that name. An error names the invalid header.
func parseOptions(header http.Header, repeatable bool, now time.Time) (requestOptions, error) {
	opts := requestOptions{deadline: now.Add(defaultDeadline), repeatable: repeatable}
	if value := header.Get(HeaderDeadline); value != "" {
		d, err := time.ParseDuration(value)
		if err != nil || d <= 0 || d > maxDeadline {
			return opts, errors.Errorf("header %s: %q is no duration such as 1500ms, above 0 and at most %s",
				HeaderDeadline, value, maxDeadline)
		}
		opts.deadline = now.Add(d)
	}
	if value := header.Get(HeaderRepeatable); value != "" {
		b, err := strconv.ParseBool(value)
		if err != nil {
			return opts, errors.Errorf("header %s: %q is neither true nor false", HeaderRepeatable, value)
		}
		opts.repeatable = b
	}
	if value := header.Get(HeaderPriority); value != "" {
		n, err := strconv.Atoi(value)
		if err != nil || n < 0 || n > maxPriority {
			return opts, errors.Errorf("header %s: %q is no whole number from 0 to %d", HeaderPriority, value, maxPriority)
		}
		opts.priority = n
	}
	if value := header.Get(HeaderCostHint); value != "" {
		x, err := strconv.ParseFloat(value, 64)
		if err != nil || !(x > 0 && x <= maxCostHint) {
			return opts, errors.Errorf("header %s: %q is no number of tokens above 0 and at most %g",
				HeaderCostHint, value, maxCostHint)
		}
		opts.costHint = x
	}
	return parseRequestID(header, opts)
}

func parseRequestID(header http.Header, opts requestOptions) (requestOptions, error) {
	value := header.Get(HeaderRequestID)
	if value == "" {
		return opts, nil
	}
	id, err := request.ParseID(value)
	if err != nil {
		return opts, errors.Wrapf(err, "header %s", HeaderRequestID)
	}
	opts.id = &id
	return opts, nil
}

var errTooLarge = errors.Errorf("body is larger than %d bytes", maxBody)

// readBody reads the request body, up to maxBody bytes.
func readBody(r *http.Request) ([]byte, error) {
	if r.ContentLength > maxBody {
		return nil, errTooLarge
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody+1))
	if err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	if len(body) > maxBody {
		return nil, errTooLarge
	}
	return body, nil
}

// refusalFor returns the refusal for an error from parsing a request.
func refusalFor(err error) refusal {
	if errors.Is(err, errTooLarge) {
		return refusal{reason: request.ReasonBodyTooLarge, detail: err.Error()}
	}
	return refusal{reason: request.ReasonBadRequest, detail: err.Error()}
}
