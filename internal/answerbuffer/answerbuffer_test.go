package answerbuffer_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/answerbuffer"
	"github.com/stepcroft/stepcroft/internal/group"
)

func ExampleBudget() {
	ctx := context.Background()
	budget := answerbuffer.New(1 << 20)
	b := budget.Open("acme")
	defer b.Discard()
	for _, event := range []string{"id: 1\n\n", "id: 2\n\n", "id: 3\n\n"} {
		if err := b.Append(ctx, []byte(event)); err != nil {
			fmt.Println(err)
		}
	}
	b.Close(true)
	for {
		data, err := b.Next(ctx)
		if errors.Is(err, answerbuffer.ErrClosed) {
			fmt.Println("complete")
			return
		}
		fmt.Printf("%q\n", data)
	}
	// Output:
	// "id: 1\n\nid: 2\n\nid: 3\n\n"
	// complete
}

// full returns a buffer in which a piece waits to be taken out, of a budget without room.
func full(t *testing.T) (*answerbuffer.Budget, *answerbuffer.Buffer) {
	t.Helper()
	s := answerbuffer.New(0)
	b := s.Open("o")
	if err := b.Append(t.Context(), []byte("first")); err != nil {
		t.Fatal(err)
	}
	return s, b
}

// TestAppendWithoutRoom guards against an Append that never returns, or that adds a piece after its
// caller has given up, so that a resumed stream repeats it.
func TestAppendWithoutRoom(t *testing.T) {
	tests := map[string]struct {
		// free lets Append return, which waits by then; cancel ends its context.
		free func(b *answerbuffer.Buffer, cancel func())
		want error
	}{
		"the context ends":      {free: func(_ *answerbuffer.Buffer, cancel func()) { cancel() }, want: context.Canceled},
		"the buffer is dropped": {free: func(b *answerbuffer.Buffer, _ func()) { b.Discard() }, want: answerbuffer.ErrDiscarded},
		"the caller has read": {free: func(b *answerbuffer.Buffer, _ func()) {
			// The second call says that the piece of the first has been written.
			for range 2 {
				if _, err := b.Next(context.Background()); err != nil {
					panic(err)
				}
			}
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, b := full(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			g := group.New(t.Context())
			defer g.Wait()
			g.Go(func() {
				for s.Stats().Waiting == 0 {
					time.Sleep(time.Millisecond)
				}
				test.free(b, cancel)
			})
			if err := b.Append(ctx, []byte("second")); !errors.Is(err, test.want) {
				t.Errorf("Append returned %v, want %v", err, test.want)
			}
			g.Wait()
			if got := s.Stats(); got.Waiting != 0 || got.Bytes != 0 || got.Full != 1 {
				t.Errorf("counters %+v", got)
			}
		})
	}
}

// TestOrder guards against pieces that are lost, repeated or out of order between two goroutines, at
// a buffer that is full most of the time.
func TestOrder(t *testing.T) {
	s := answerbuffer.New(4000)
	var want, got bytes.Buffer
	b := s.Open("o")
	defer b.Discard()
	g := group.New(t.Context())
	defer g.Stop()
	done := make(chan error, 1)
	g.GoContext(func(ctx context.Context) {
		for {
			data, err := b.Next(ctx)
			if err != nil {
				done <- err
				return
			}
			got.Write(data)
		}
	})
	for i := range 5000 {
		piece := fmt.Appendf(nil, "id: %d\ndata: %0*d\n\n", i, i%300, i)
		want.Write(piece)
		if err := b.Append(t.Context(), piece); err != nil {
			t.Fatal(err)
		}
	}
	b.Close(false)
	if err := <-done; !errors.Is(err, answerbuffer.ErrCut) {
		t.Errorf("the end is %v", err)
	}
	if !bytes.Equal(got.Bytes(), want.Bytes()) {
		t.Errorf("%d bytes arrived, or in another order, of %d", got.Len(), want.Len())
	}
	if left := s.Stats().Bytes; left != 0 {
		t.Errorf("%d bytes are counted in an empty buffer", left)
	}
}
