package cli_test

import (
	"bytes"
	"compress/gzip"
	"fmt"
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

	DescribeTable(
		"says in one line which files are no logs", func(others int, toReport bool, args ...string) {
			dir := GinkgoT().TempDir()
			Expect(os.WriteFile(filepath.Join(dir, "r.log"), []byte(log+strings.Replace(log, `"msg":"request"`, `"msg":"configuration in force","version":2`, 1)), 0o600)).To(Succeed())
			for i := range others {
				Expect(os.WriteFile(filepath.Join(dir, fmt.Sprintf("r%02d.json", i)), []byte("{\"node\":\"r\",\n\"zone\":\"z\"}"), 0o600)).To(Succeed())
			}
			_, out, errOut := run(append([]string{"explain", dir}, args...)...)
			told, other := errOut, out
			if toReport {
				told, other = out, errOut
			}
			Expect(other).NotTo(ContainSubstring(".json"))
			var lines []string
			for _, l := range strings.Split(told, "\n") {
				if strings.Contains(l, ".json") {
					lines = append(lines, l)
				}
			}
			Expect(errOut).NotTo(Or(ContainSubstring("line 1:"), ContainSubstring("could not be parsed")))
			Expect(lines).To(HaveLen(1))
			Expect(lines[0]).To(And(HavePrefix(fmt.Sprintf("%d files hold no line of a log: ", others)), ContainSubstring("r00.json")))
			if others > 5 {
				Expect(lines[0]).To(And(HaveSuffix(fmt.Sprintf("r04.json and %d others", others-5)), Not(ContainSubstring("r05.json"))))
			}
		},
		Entry("a request", 1, false, "--id", "r"),
		Entry("a request, many files", 30, false, "--id", "r"),
		Entry("streams", 1, true, "--streams"),
		Entry("streams, many files", 30, true, "--streams"),
		Entry("a change", 1, true, "--change", "2"),
		Entry("a change, many files", 30, true, "--change", "2"),
	)

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
				ContainSubstring("refused: 1 no-target"), ContainSubstring("1 lines could not be parsed"), ContainSubstring("1 files hold no line of a log: "), MatchRegexp("of a log: .*/a.json\\n")))
			Expect(errOut).To(And(ContainSubstring("a.log, line 1:"), Not(ContainSubstring("a.json"))))
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

	Context("with streams", func() {
		// logs returns a directory with the logs of two routers, one compressed: stream r was begun at one version by one of
		// them, and taken up at another version by the other one.
		logs := func() string {
			dir := GinkgoT().TempDir()
			var b bytes.Buffer
			z := gzip.NewWriter(&b)
			Expect(z.Write([]byte(`{"time":"2026-01-01T00:00:09Z","msg":"request","router":"b","id":"r","runs":1,"events":5,"last_event":"5","process":"i-1","run_version":"v1","end":"cut"}` + "\n"))).Error().NotTo(HaveOccurred())
			Expect(z.Close()).To(Succeed())
			Expect(os.WriteFile(filepath.Join(dir, "b.log.gz"), b.Bytes(), 0o600)).To(Succeed())
			Expect(os.WriteFile(filepath.Join(dir, "a.log"), []byte(`{"time":"2026-01-01T00:00:10Z","msg":"stream goes on","router":"a","id":"q","stream":"r","after":"5","first":"6","to":"i-2","to_version":"v2","evidence":"unknown","process_by":"entry"}`+"\n"+
				`{"time":"2026-01-01T00:00:11Z","msg":"request","router":"a","id":"q","resumes":"r","after":"5","runs":1,"events":4,"last_event":"9","process":"i-2","run_version":"v2","end":"answered","took_ms":1500}`+"\n"), 0o600)).To(Succeed())
			return dir
		}

		It("lists those out of order over all routers", func() {
			code, out, errOut := run("explain", "--streams", logs())
			Expect(code).To(Equal(cli.ExitOK))
			Expect(out).To(And(ContainSubstring("stream r\n"), ContainSubstring("two-versions: a takes it up behind event 5 at version v2 of i-2 (unknown), while b began it at version v1 of i-1"),
				ContainSubstring("a  q  took it up behind 5"), Not(ContainSubstring("INCOMPLETE"))))
			Expect(errOut).To(BeEmpty())
			_, out, _ = run("explain", "--streams", "-o", "json", logs())
			Expect(out).To(And(ContainSubstring(`"streams":[{"id":"r","faults":[{"kind":"two-versions"`), ContainSubstring(`"joins_by_evidence":{"unknown":1}`), ContainSubstring(`"incomplete":false`)))
		})

		It("says that a log is missing", func() {
			code, out, errOut := run("explain", "--streams", filepath.Join(logs(), "a.log"), "/nowhere.log")
			Expect(code).To(Equal(cli.ExitFailed))
			Expect(out).To(And(ContainSubstring("no line shows a stream"), ContainSubstring("r, taken up at a behind event 5"), ContainSubstring("1 files could not be read"), ContainSubstring("INCOMPLETE")))
			Expect(strings.Count(errOut, "/nowhere.log")).To(Equal(1))
		})

		DescribeTable(
			"refuses what it cannot explain", func(want string, args ...string) {
				code, out, errOut := run(append([]string{"explain", "--streams", logs()}, args...)...)
				Expect(code).To(Equal(cli.ExitUsage))
				Expect(out + errOut).To(ContainSubstring(want))
				Expect(out).NotTo(ContainSubstring("stream r"))
			},
			Entry("a request", "can't be used together", "--id", "r"),
			Entry("a change", "can't be used together", "--change", "last"),
			Entry("standard input", "standard input", "-"),
			Entry("nothing to list", "--limit", "--limit", "0"),
		)
	})
})
