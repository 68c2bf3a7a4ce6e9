package cli_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/stepcroft/stepcroft/internal/cli"
)

var _ = Describe("explain", func() {
	log := `{"time":"2026-01-01T00:00:10Z","msg":"request","router":"a","id":"r","outcome":"refused","status":503,"reason":"no-target"}` + "\n"

	It("prints what happened to a request and the cause", func() {
		code, out, _ := run("explain", "--id", "r", tempFile(log))
		Expect(code).To(Equal(cli.ExitOK))
		Expect(out).To(And(ContainSubstring("status 503, no-target"), ContainSubstring("cause: the service had no target")))
		_, out, _ = run("explain", "--id", "r", "-o", "json", tempFile(log))
		Expect(out).To(ContainSubstring(`"cause":"the service had no target"`))
	})

	It("reports unreadable lines and files and reads the others", func() {
		code, out, errOut := run("explain", "--id", "r", "/nowhere.log", tempFile("{\n"+log))
		Expect(code).To(Equal(cli.ExitFailed))
		Expect(out).To(ContainSubstring("no-target"))
		Expect(errOut).To(And(ContainSubstring("/nowhere.log"), ContainSubstring("line 1:")))
	})
})
