package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/quarantine"
	"github.com/stepcroft/stepcroft/internal/suspectapi"
)

// callOperators sends an operator's request to a router.
func callOperators(g *Gateway, method, query string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	suspectapi.New(g, g.Log).ServeHTTP(w, httptest.NewRequest(method, "/suspects?"+query, nil))
	return w
}

func listSuspects(t *testing.T, g *Gateway) []suspectapi.Suspect {
	t.Helper()
	var list []suspectapi.Suspect
	if err := json.Unmarshal(callOperators(g, http.MethodGet, "").Body.Bytes(), &list); err != nil {
		t.Fatal(err)
	}
	return list
}

func TestOperatorsHoldAndRelease(t *testing.T) {
	k := quarantine.KeyOf("o", "POST", "/x", []byte("question"))
	a := newConfigured(t)
	b := newConfigured(t, a.Self().Peer)
	hold := "do=hold&organisation=o&content=" + k.String()
	for range 2 {
		if w := callOperators(a, http.MethodPost, hold); w.Code != http.StatusOK {
			t.Fatalf("hold: %d %s", w.Code, w.Body)
		}
		waitHeld(t, b, k, true)
		if list := listSuspects(t, b); len(list) != 1 || list[0].State != "held back" || list[0].Organisation != "o" {
			t.Errorf("%+v listed at the other router", list)
		}
		if w := callOperators(b, http.MethodPost, "do=release&content="+k.String()); w.Code != http.StatusOK {
			t.Fatalf("release: %d %s", w.Code, w.Body)
		}
		waitHeld(t, a, k, false)
		if list := listSuspects(t, a); len(list) != 1 || list[0].State != "cleared" {
			t.Errorf("%+v listed after the release", list)
		}
	}
}

// waitHeld waits until a router holds a request back, or until it does not if want is false.
func waitHeld(t *testing.T, g *Gateway, k quarantine.Key, want bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		v := g.suspects.View()
		if held := quarantine.HeldBack(v.Crashes(k)); held == want {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("held %v, want %v", !want, want)
		}
	}
}

func TestInvalidOperatorRequests(t *testing.T) {
	g := newConfigured(t)
	known := quarantine.KeyOf("o", "POST", "/x", nil)
	if !g.Hold(context.Background(), known, "o") {
		t.Fatal("not held")
	}
	cases := map[string]struct {
		method, query string
		code          int
	}{
		"a release of an unknown request": {http.MethodPost, "do=release&content=" + strings.Repeat("0", 32), http.StatusNotFound},
		"no content":                      {http.MethodPost, "do=release", http.StatusBadRequest},
		"an invalid content":              {http.MethodPost, "do=hold&content=xyz", http.StatusBadRequest},
		"an unknown action":               {http.MethodPost, "do=forget&content=" + known.String(), http.StatusBadRequest},
		"another method":                  {http.MethodDelete, "content=" + known.String(), http.StatusMethodNotAllowed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if w := callOperators(g, c.method, c.query); w.Code != c.code {
				t.Errorf("status %d, want %d", w.Code, c.code)
			}
			if list := listSuspects(t, g); len(list) != 1 || list[0].State != "held back" {
				t.Errorf("%+v listed afterwards", list)
			}
		})
	}
}
