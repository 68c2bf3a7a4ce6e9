package cli_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/stepcroft/stepcroft/internal/cli"
	"github.com/stepcroft/stepcroft/internal/config"
	"github.com/stepcroft/stepcroft/internal/standin"
)

func TestCLI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cli")
}

var platform *standin.Platform

// run runs the command line and returns its exit code and its output.
func run(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = cli.Main(args, &o, &e)
	return code, o.String(), e.String()
}

// runOnPlatform runs a command against the stand-in for the platform.
func runOnPlatform(args ...string) (code int, out, errOut string) {
	return run(append(args, "--platform", platform.Address())...)
}

// tempFile writes a temporary YAML file and returns its name.
func tempFile(text string) string {
	name := filepath.Join(GinkgoT().TempDir(), "file.yaml")
	Expect(os.WriteFile(name, []byte(text), 0o600)).To(Succeed())
	return name
}

// usageCase is a command line with its exit code and a substring of its output.
type usageCase struct {
	args []string
	code int
	want string
}

var usageCases = map[string]usageCase{
	"help":            {[]string{"--help"}, cli.ExitOK, "Exit codes"},
	"version":         {[]string{"--version"}, cli.ExitOK, cli.Version},
	"unknown command": {[]string{"dance"}, cli.ExitUsage, "dance"},
	"no settings":     {[]string{"route"}, cli.ExitUsage, "--settings"},
	"missing file":    {[]string{"route", "--settings", "/nowhere.yaml"}, cli.ExitFailed, "/nowhere.yaml"},
	"bad scale":       {[]string{"load", "--scenario", "demo.yaml", "--scale", "0"}, cli.ExitUsage, "--scale"},
	"policy names":    {[]string{"policy", "names"}, cli.ExitOK, "share"},
	"no platform":     {[]string{"org", "list", "--platform", "127.0.0.1:1"}, cli.ExitUnavailable, "platform does not answer"},
	"no content":      {[]string{"quarantine", "release", "xyz", "--router", "127.0.0.1:1"}, cli.ExitUsage, "hexadecimal"},
	"no such router":  {[]string{"quarantine", "list", "--router", "127.0.0.1:1"}, cli.ExitFailed, "call router"},
	"no router":       {[]string{"status", "--admin", "127.0.0.1:1"}, cli.ExitFailed, "did not answer"},
}

var _ = Describe("The command line", func() {
	BeforeEach(func() {
		var err error
		platform, err = standin.NewPlatform("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
	})
	AfterEach(func() { platform.Stop() })

	for name, c := range usageCases {
		It("exits with a code and prints a message: "+name, func() {
			code, out, errOut := run(c.args...)
			Expect(code).To(Equal(c.code), out+errOut)
			Expect(out + errOut).To(ContainSubstring(c.want))
		})
	}

	It("validates settings and reports every error in them", func() {
		good := tempFile("id: r1\nzone: a\nlisten: 127.0.0.1:1\npeer_listen: 127.0.0.1:2\nplatform: 127.0.0.1:3\n")
		code, out, _ := run("route", "--check", "--settings", good)
		Expect(code).To(Equal(cli.ExitOK))
		Expect(out).To(ContainSubstring("are valid"))
		code, _, errOut := run("route", "--check", "--settings", tempFile("id: r1\nlisten: here\ncolour: red\n"))
		Expect(code).To(Equal(cli.ExitUsage))
		Expect(strings.Count(errOut, "file.yaml:")).To(Equal(5), errOut)
	})

	It("creates, edits, shows and lists objects, and changes nothing in a dry run", func() {
		code, out, _ := runOnPlatform("org", "create", "water", "--set", "weight=2", "--dry-run")
		Expect(code).To(Equal(cli.ExitOK))
		Expect(out).To(ContainSubstring("would change"))
		code, _, _ = runOnPlatform("org", "show", "water")
		Expect(code).To(Equal(cli.ExitFailed))
		code, _, _ = runOnPlatform("org", "create", "water", "--set", "weight=2", "--set", "limits.queue=5")
		Expect(code).To(Equal(cli.ExitOK))
		code, out, _ = runOnPlatform("org", "edit", "water", "--set", "weight=3", "-o", "json")
		Expect(code).To(Equal(cli.ExitOK))
		var result struct {
			Version int
			Changes []string
		}
		Expect(json.Unmarshal([]byte(out), &result)).To(Succeed())
		Expect(result.Version).To(Equal(2))
		Expect(result.Changes).To(Equal([]string{"weight: 2 -> 3"}))
		_, out, _ = runOnPlatform("org", "show", "water")
		Expect(out).To(And(ContainSubstring("weight: 3"), ContainSubstring("queue: 5")))
		_, out, _ = runOnPlatform("org", "list")
		Expect(out).To(ContainSubstring("limits.queue=5"))
	})

	It("reports a concurrent change as a conflict and prints the difference", func() {
		runOnPlatform("org", "create", "water", "--set", "weight=2")
		code, _, errOut := runOnPlatform("org", "create", "water", "--set", "weight=5")
		Expect(code).To(Equal(cli.ExitConflict))
		Expect(errOut).To(ContainSubstring("changed meanwhile: weight: (not set) -> 2"))
		code, _, _ = runOnPlatform("org", "edit", "water", "--set", "weight=5", "--if-version", "7")
		Expect(code).To(Equal(cli.ExitConflict))
	})

	It("rejects invalid values and names the field", func() {
		for _, set := range []string{"weight=-1", "weight=much", "colour=red", "limits.queue=-5", "nonsense"} {
			code, _, errOut := runOnPlatform("org", "create", "water", "--set", set)
			Expect(code).To(Equal(cli.ExitUsage), set)
			Expect(errOut).To(ContainSubstring(strings.Split(strings.Split(set, "=")[0], ".")[0]), set)
		}
		code, _, errOut := runOnPlatform("policy", "create", "chat", "--set", "policy=luck")
		Expect(code).To(Equal(cli.ExitUsage))
		Expect(errOut).To(ContainSubstring("share"))
	})

	It("applies the objects of a file in order, and leaves unchanged ones alone", func() {
		name := tempFile("name: small\nweight: 1\n---\nname: large\nweight: 4\n")
		code, out, _ := runOnPlatform("template", "apply", "-f", name)
		Expect(code).To(Equal(cli.ExitOK))
		Expect(strings.Count(out, "accepted")).To(Equal(2))
		_, out, _ = runOnPlatform("template", "apply", "-f", name)
		Expect(strings.Count(out, "unchanged")).To(Equal(2))
		code, _, errOut := runOnPlatform("template", "apply", "-f", tempFile("name: small\n---\nname: large\nweight: 0.001\n"))
		Expect(code).To(Equal(cli.ExitUsage))
		Expect(errOut).To(ContainSubstring(":4: weight"))
	})

	It("reports a write as accepted if it took effect but its answer was lost", func() {
		platform.SetFaults(standin.Faults{LoseAnswers: true})
		code, out, errOut := runOnPlatform("org", "create", "water", "--set", "weight=2")
		Expect(code).To(Equal(cli.ExitOK), errOut)
		Expect(out).To(ContainSubstring("accepted, version 1"))
	})

	It("does not report a write as accepted in an outage", func() {
		platform.SetFaults(standin.Faults{Outage: true})
		code, _, errOut := runOnPlatform("org", "create", "water")
		Expect(code).To(Equal(cli.ExitUnavailable))
		Expect(errOut).To(ContainSubstring("not accepted"))
	})

	It("runs a scenario and prints it as JSON", func() {
		code, out, errOut := run("load", "--scenario", "demo.yaml", "--duration", "1s", "--format", "json", "--policy", "share")
		Expect(code).To(Equal(cli.ExitOK), errOut)
		var got struct{ Policies []struct{ Policy string } }
		Expect(json.Unmarshal([]byte(out), &got)).To(Succeed())
		Expect(got.Policies).To(HaveLen(1))
	})
})

// API keys are stored as hashes, which operators compute as documented; the hash must not change.
var _ = It("hashes API keys as documented for operators", func() {
	Expect(config.HashKey("secret")).To(Equal("2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"))
})
