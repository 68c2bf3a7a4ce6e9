package cli_test

import (
	"bytes"
	"compress/gzip"
	"os"
	"path/filepath"
	"strings"

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

	Context("with a change of the configuration", func() {
		// logs returns a directory with a plain log, a compressed one and a directory, which is not read.
		logs := func() string {
			dir := GinkgoT().TempDir()
			write := func(name string, text []byte) {
				Expect(os.WriteFile(filepath.Join(dir, name), text, 0o600)).To(Succeed())
			}
			var b bytes.Buffer
			z := gzip.NewWriter(&b)
			Expect(z.Write([]byte(`{"time":"2026-01-01T00:00:09Z","msg":"configuration in force","router":"b","version":2,"version_before":1}` + "\n"))).Error().NotTo(HaveOccurred())
			Expect(z.Close()).To(Succeed())
			write("b.log.gz", b.Bytes())
			write("a.log", []byte("{\n"+log+strings.Replace(log, `"id":"r"`, `"id":"lost","end":"cut"`, 1)))
			write("a.json", []byte("{}\n"))
			Expect(os.Mkdir(filepath.Join(dir, "c.log"), 0o700)).To(Succeed())
			return dir
		}

		It("lists the requests near it that had no whole answer", func() {
			code, out, errOut := run("explain", "--change", "last", logs())
			Expect(code).To(Equal(cli.ExitOK))
			Expect(out).To(And(ContainSubstring("configuration 2"), ContainSubstring("without a whole answer: 1\n"), ContainSubstring("lost  a  cut"),
				ContainSubstring("refused: 1 no-target"), ContainSubstring("1 lines could not be parsed"), ContainSubstring("1 files hold no line")))
			Expect(errOut).To(And(ContainSubstring("a.log, line 1:"), ContainSubstring("a.json holds no line of a log")))
			_, out, _ = run("explain", "--change", "2", "--window", "100ms", "-o", "json", logs())
			Expect(out).To(And(ContainSubstring(`"window_ms":100`), ContainSubstring(`"requests":[]`)))
		})

		It("reads each file once and reports those that it cannot read", func() {
			dir, empty := logs(), GinkgoT().TempDir()
			code, out, errOut := run("explain", "--change", "2", "/nowhere.log", empty, dir, filepath.Join(dir, "a.log"))
			Expect(code).To(Equal(cli.ExitFailed))
			Expect(out).To(And(ContainSubstring("without a whole answer: 1\n"), ContainSubstring("2 files could not be read"), ContainSubstring("INCOMPLETE")))
			Expect(errOut).To(ContainSubstring("no files in directory " + empty))
			Expect(strings.Count(errOut, "/nowhere.log")).To(Equal(1))
		})

		DescribeTable(
			"refuses what it cannot explain", func(code int, want string, args ...string) {
				got, out, errOut := run(append([]string{"explain"}, append(args, logs())...)...)
				Expect(got).To(Equal(code))
				Expect(out + errOut).To(ContainSubstring(want))
				Expect(out).NotTo(ContainSubstring("requests without"))
			},
			Entry("both", cli.ExitUsage, "can't be used together", "--id", "r", "--change", "last"),
			Entry("neither", cli.ExitUsage, "--id"),
			Entry("no selection", cli.ExitUsage, "neither last, all nor a version", "--change", "newest"),
			Entry("unknown version", cli.ExitFailed, "version 7", "--change", "7"),
			Entry("standard input", cli.ExitUsage, "standard input", "--change", "last", "-"),
			Entry("nothing to list", cli.ExitUsage, "--limit", "--change", "last", "--limit", "0"),
			Entry("nowhere to look", cli.ExitFailed, "/nowhere", "--change", "7", "/nowhere"),
		)
	})
})
