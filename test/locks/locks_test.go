package locks

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// harmless holds the function fields that take no lock: clocks, random numbers
// and loggers.
var harmless = []string{"Now", "Clock", "Random", "Logger", "Debug", "Info", "Warn", "Error", "Log"}

// scan lists the calls of function fields of a configuration and of function
// parameters that a function makes while it holds a lock.
type scan struct {
	where  string
	params map[string]bool
	locked bool
	calls  []string
}

// statements follows a list of statements in order. A lock that a branch takes or
// releases doesn't change the state after the branch.
func (s *scan) statements(list []ast.Stmt) {
	for _, st := range list {
		switch st := st.(type) {
		case *ast.ExprStmt:
			if name, ok := mutexCall(st.X); ok {
				s.locked = strings.HasSuffix(name, "Lock") && !strings.HasSuffix(name, "Unlock")
				continue
			}
		case *ast.DeferStmt:
			if _, ok := mutexCall(st.Call); ok {
				continue
			}
		case *ast.BlockStmt:
			s.statements(st.List)
			continue
		case *ast.IfStmt:
			s.expression(st.Init)
			s.expression(st.Cond)
			s.branch(st.Body.List)
			if st.Else != nil {
				s.branch([]ast.Stmt{st.Else})
			}
			continue
		case *ast.ForStmt:
			s.expression(st.Cond)
			s.branch(st.Body.List)
			continue
		case *ast.RangeStmt:
			s.expression(st.X)
			s.branch(st.Body.List)
			continue
		}
		s.expression(st)
	}
}

func (s *scan) branch(list []ast.Stmt) {
	before := s.locked
	s.statements(list)
	s.locked = before
}

// expression records the calls in a node. Goroutines run without the lock.
func (s *scan) expression(n ast.Node) {
	if n == nil || !s.locked {
		return
	}
	ast.Inspect(n, func(n ast.Node) bool {
		if _, ok := n.(*ast.GoStmt); ok {
			return false
		}
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		switch f := call.Fun.(type) {
		case *ast.SelectorExpr:
			if of, ok := f.X.(*ast.SelectorExpr); ok && of.Sel.Name == "cfg" && !slices.Contains(harmless, f.Sel.Name) {
				s.calls = append(s.calls, s.where+" calls "+f.Sel.Name)
			}
		case *ast.Ident:
			if s.params[f.Name] {
				s.calls = append(s.calls, s.where+" calls its argument "+f.Name)
			}
		}
		return true
	})
}

// mutexCall returns the method if e locks or unlocks a mutex.
func mutexCall(e ast.Expr) (string, bool) {
	call, ok := e.(*ast.CallExpr)
	if !ok {
		return "", false
	}
	f, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || len(call.Args) > 0 {
		return "", false
	}
	name := f.Sel.Name
	return name, name == "Lock" || name == "RLock" || name == "Unlock" || name == "RUnlock"
}

// scanFile returns the calls under a lock in a file.
func scanFile(t *testing.T, path string) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
	if err != nil {
		t.Fatal(err)
	}
	var calls []string
	for _, d := range file.Decls {
		f, ok := d.(*ast.FuncDecl)
		if !ok || f.Body == nil {
			continue
		}
		s := &scan{where: file.Name.Name + "." + f.Name.Name, params: map[string]bool{}}
		for _, p := range f.Type.Params.List {
			if _, ok := p.Type.(*ast.FuncType); ok {
				for _, name := range p.Names {
					s.params[name.Name] = true
				}
			}
		}
		doc := strings.Join(strings.Fields(f.Doc.Text()), " ")
		s.locked = strings.Contains(doc, "caller holds ") || strings.HasSuffix(f.Name.Name, "Locked")
		s.statements(f.Body.List)
		calls = append(calls, s.calls...)
	}
	return calls
}

// A function of another component that is called under a lock can close a cycle
// of locks, which stops an instance for good. Each such call is listed in
// testdata/calls.txt with the reason why it can't; a new one must be moved out of
// the lock or be added with its reason.
func TestCallsUnderLock(t *testing.T) {
	var got []string
	for _, root := range []string{"../../internal", "../../platform"} {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err == nil && strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
				got = append(got, scanFile(t, path)...)
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	slices.Sort(got)
	got = slices.Compact(got)
	text, err := os.ReadFile("testdata/calls.txt")
	if err != nil {
		t.Fatal(err)
	}
	reasons := map[string]string{}
	for line := range strings.Lines(string(text)) {
		call, reason, ok := strings.Cut(strings.TrimSpace(line), ": ")
		if !ok || reason == "" {
			t.Errorf("%q has no reason", line)
		}
		reasons[call] = reason
	}
	for _, call := range got {
		if reasons[call] == "" {
			t.Errorf("under a lock: %s", call)
		}
		delete(reasons, call)
	}
	for call := range reasons {
		t.Errorf("listed, but not in the code: %s", call)
	}
}

// The scanner must see a call between Lock and Unlock, under a deferred Unlock, in
// a method whose caller holds the lock and of a function argument, and none
// after Unlock.
func TestScanner(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a.go")
	source := `package a
func (a *A) Between() { a.mu.Lock(); a.cfg.One(); a.mu.Unlock(); a.cfg.Two() }
func (a *A) Deferred() { a.mu.RLock(); defer a.mu.RUnlock(); if a.cfg.Three() { return }; a.cfg.Now() }
// inner does something. The caller
// holds mu.
func (a *A) inner() int { return a.cfg.Four() }
func (a *A) Argument(f func()) { a.mu.Lock(); for range 3 { f() }; a.mu.Unlock(); f() }
func (a *A) Free() { go a.cfg.Five(); a.cfg.Six() }
`
	if err := os.WriteFile(path, []byte(source), 0o600); err != nil {
		t.Fatal(err)
	}
	got := fmt.Sprint(scanFile(t, path))
	want := "[a.Between calls One a.Deferred calls Three a.inner calls Four a.Argument calls its argument f]"
	if got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
