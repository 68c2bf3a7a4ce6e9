package group_test

import (
	"context"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/stepcroft/stepcroft/internal/group"
)

func TestGroup(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "group")
}

var _ = Describe("Group", func() {
	It("cancels its goroutines and waits for them", func() {
		g := group.New(context.Background())
		returned := false
		g.GoContext(func(ctx context.Context) {
			<-ctx.Done()
			returned = true
		})
		g.Stop()
		Expect(returned).To(BeTrue())
	})
})

// inspect calls f with every node of the repository's Go code, except generated code.
func inspect(f func(n ast.Node, at token.Position)) {
	files := token.NewFileSet()
	seen := 0
	err := filepath.WalkDir("../..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, ".pb.go") {
			return err
		}
		seen++
		file, err := parser.ParseFile(files, path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if n != nil {
				f(n, files.Position(n.Pos()))
			}
			return true
		})
		return nil
	})
	Expect(err).NotTo(HaveOccurred())
	Expect(seen).To(BeNumerically(">", 20))
}

var _ = Describe("The repository", func() {
	It("starts no goroutine with the go statement", func() {
		inspect(func(n ast.Node, at token.Position) {
			if _, ok := n.(*ast.GoStmt); ok {
				Fail("go statement at " + at.String())
			}
		})
	})

	It("reads the time from internal/clock, which includes suspensions", func() {
		inspect(func(n ast.Node, at token.Position) {
			call, ok := n.(*ast.SelectorExpr)
			if !ok || strings.HasSuffix(at.Filename, "_test.go") || strings.Contains(at.Filename, "internal/clock/") {
				return
			}
			name, ok := call.X.(*ast.Ident)
			if ok && name.Name == "time" && slices.Contains([]string{"Now", "Since", "Until"}, call.Sel.Name) {
				Fail("time." + call.Sel.Name + " at " + at.String() + ": see internal/clock")
			}
		})
	})

	It("uses no synonyms of the terms in the glossary as names", func() {
		inspect(func(n ast.Node, at token.Position) {
			name, ok := n.(*ast.Ident)
			if !ok {
				return
			}
			for _, word := range []string{"tenant", "customer", "backend", "machine"} {
				if strings.Contains(strings.ToLower(name.Name), word) {
					Fail(name.Name + " at " + at.String() + ": see docs/GLOSSARY.md")
				}
			}
		})
	})
})
