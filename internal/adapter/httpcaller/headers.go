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
	// maxBody is the largest body accepted, in bytes.
	maxBody = 1 << 20
	// defaultDeadline holds where the caller sets none.
	defaultDeadline = 60 * time.Second
	// maxDeadline is the longest that a caller may set.
	maxDeadline = 30 * time.Minute
	maxPriority = 9
	// maxCostHint is the largest cost hint, in generated tokens.
	maxCostHint = 1e6
)

// terms are what a caller says about a request in headers.
type terms struct {
	deadline   time.Time
	repeatable bool
	priority   int
	hint       float64
	id         *request.ID
}

// readTerms reads the headers; an error names the header at fault.
func readTerms(header http.Header, repeatable bool, now time.Time) (terms, error) {
	t := terms{deadline: now.Add(defaultDeadline), repeatable: repeatable}
	if text := header.Get(HeaderDeadline); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 || d > maxDeadline {
			return t, errors.Errorf("header %s: %q is no duration such as 1500ms, above 0 and at most %s",
				HeaderDeadline, text, maxDeadline)
		}
		t.deadline = now.Add(d)
	}
	if text := header.Get(HeaderRepeatable); text != "" {
		b, err := strconv.ParseBool(text)
		if err != nil {
			return t, errors.Errorf("header %s: %q is neither true nor false", HeaderRepeatable, text)
		}
		t.repeatable = b
	}
	if text := header.Get(HeaderPriority); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 || n > maxPriority {
			return t, errors.Errorf("header %s: %q is no whole number from 0 to %d", HeaderPriority, text, maxPriority)
		}
		t.priority = n
	}
	if text := header.Get(HeaderCostHint); text != "" {
		x, err := strconv.ParseFloat(text, 64)
		if err != nil || !(x > 0 && x <= maxCostHint) {
			return t, errors.Errorf("header %s: %q is no number of tokens above 0 and at most %g",
				HeaderCostHint, text, maxCostHint)
		}
		t.hint = x
	}
	return readID(header, t)
}

func readID(header http.Header, t terms) (terms, error) {
	text := header.Get(HeaderRequestID)
	if text == "" {
		return t, nil
	}
	id, err := request.ParseID(text)
	if err != nil {
		return t, errors.Wrapf(err, "header %s", HeaderRequestID)
	}
	t.id = &id
	return t, nil
}

var errTooLarge = errors.Errorf("body is larger than %d bytes", maxBody)

// readBody reads a body of bounded size.
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

// refusalOf turns an error in reading a request into a refusal.
func refusalOf(err error) refusal {
	if errors.Is(err, errTooLarge) {
		return refusal{reason: request.ReasonBodyTooLarge, detail: err.Error()}
	}
	return refusal{reason: request.ReasonBadRequest, detail: err.Error()}
}
