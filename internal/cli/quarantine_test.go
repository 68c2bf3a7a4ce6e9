package cli_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/stepcroft/stepcroft/internal/cli"
)

var _ = Describe("quarantine", func() {
	heldContent, suspectedContent := strings.Repeat("ab", 16), strings.Repeat("cd", 16)

	// router starts a fake router that suspects two requests, and returns its address. It appends
	// each POST that it receives to operations.
	router := func(operations *[]string) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				*operations = append(*operations, r.FormValue("do")+" "+r.FormValue("content")+" "+r.FormValue("organisation"))
				return
			}
			fmt.Fprintf(w, `[{"content":%q,"organisation":"o","state":"suspected","crashes":1,"targets":["a"]},
				{"content":%q,"organisation":"o","state":"held back","crashes":3,"targets":["a","b","c"]}]`, suspectedContent, heldContent)
		}))
		DeferCleanup(server.Close)
		return server.Listener.Addr().String()
	}

	It("lists requests that crashed at least two targets, and all with --all", func() {
		address := router(nil)
		code, out, _ := run("quarantine", "list", "--router", address)
		Expect(code).To(Equal(cli.ExitOK))
		Expect(out).To(And(ContainSubstring(heldContent), ContainSubstring("held back"), Not(ContainSubstring(suspectedContent))))
		_, out, _ = run("quarantine", "list", "--all", "--router", address, "-o", "json")
		Expect(out).To(And(ContainSubstring(heldContent), ContainSubstring(suspectedContent)))
	})

	It("shows a request with the targets that it crashed", func() {
		address := router(nil)
		code, out, _ := run("quarantine", "show", heldContent, "--router", address)
		Expect(code).To(Equal(cli.ExitOK))
		Expect(out).To(ContainSubstring(`"c"`))
		code, _, errOut := run("quarantine", "show", strings.Repeat("0", 32), "--router", address)
		Expect(code).To(Equal(cli.ExitFailed))
		Expect(errOut).To(ContainSubstring("suspects no request"))
	})

	It("releases and holds requests", func() {
		var operations []string
		address := router(&operations)
		code, _, _ := run("quarantine", "release", heldContent, "--router", address)
		Expect(code).To(Equal(cli.ExitOK))
		code, _, _ = run("quarantine", "hold", suspectedContent, "--organisation", "o", "--router", address)
		Expect(code).To(Equal(cli.ExitOK))
		Expect(operations).To(Equal([]string{"release " + heldContent + " ", "hold " + suspectedContent + " o"}))
	})
})
