package fault_test

import (
	"go/ast"
	"go/token"
	"go/types"
	"os"
	"strings"
	"testing"

	"golang.org/x/tools/go/packages"
)

// typedPackages are the packages whose every error has a type with advice.
var typedPackages = []string{"yardflow/internal/gateway/workflowsteps", "yardflow/coordination/lease", "yardflow/internal/fleet/coldstart/...",
	"yardflow/internal/workflow/...", "yardflow/internal/fleet/quota", "yardflow/internal/gateway/relayedlist", "yardflow/internal/gateway/haproxy",
	"yardflow/internal/platform/fault"}

// listedPackages are those whose types are in the operators' table: the former, and one that has other errors, too.
var listedPackages = append([]string{"yardflow/internal/gateway/httpfront"}, typedPackages...)

// load type-checks the packages that match the patterns.
func load(t *testing.T, patterns []string) []*packages.Package {
	t.Helper()
	all, err := packages.Load(&packages.Config{Mode: packages.NeedName | packages.NeedSyntax | packages.NeedTypes | packages.NeedTypesInfo | packages.NeedDeps | packages.NeedImports}, patterns...)
	if err != nil || packages.PrintErrors(all) > 0 || len(all) == 0 {
		t.Fatal(err, len(all))
	}
	return all
}

// TestNoErrorWithoutAType checks that none of the packages makes an error without a type of its own.
func TestNoErrorWithoutAType(t *testing.T) {
	for _, p := range load(t, typedPackages) {
		for _, f := range p.Syntax {
			ast.Inspect(f, func(n ast.Node) bool {
				call, ok := n.(*ast.CallExpr)
				if !ok {
					return true
				}
				if sel, ok := call.Fun.(*ast.SelectorExpr); ok {
					if fn, ok := p.TypesInfo.Uses[sel.Sel].(*types.Func); ok && (fn.FullName() == "errors.New" || fn.FullName() == "fmt.Errorf") {
						t.Errorf("%v: %s: an error that an operator may meet has a type that says what to do", p.Fset.Position(call.Pos()), fn.FullName())
					}
				}
				return true
			})
		}
	}
}

// TestEachFaultIsInTheTable checks that each type of error says what to do, and that its code is in the operators' table.
func TestEachFaultIsInTheTable(t *testing.T) {
	table, err := os.ReadFile("../../../docs/ON-CALL.md")
	if err != nil {
		t.Fatal(err)
	}
	isError := types.Universe.Lookup("error").Type().Underlying().(*types.Interface)
	seen := 0
	for _, p := range load(t, listedPackages) {
		scope := p.Types.Scope()
		for _, name := range scope.Names() {
			obj, ok := scope.Lookup(name).(*types.TypeName)
			if !ok || types.IsInterface(obj.Type()) {
				continue
			}
			ptr := types.NewPointer(obj.Type())
			if !types.Implements(ptr, isError) {
				continue
			}
			methods := types.NewMethodSet(ptr)
			if methods.Lookup(p.Types, "Advice") == nil || methods.Lookup(p.Types, "Code") == nil {
				t.Errorf("%s.%s does not say what an operator can do", p.PkgPath, name)
				continue
			}
			for _, code := range codesOf(p, name) {
				seen++
				if !strings.Contains(string(table), "| `"+code+"` |") {
					t.Errorf("%s.%s: %q is not in the operators' table", p.PkgPath, name, code)
				}
			}
		}
	}
	if seen < 8 {
		t.Errorf("%d codes found: the check sees almost nothing", seen)
	}
}

// codesOf returns the codes that a type's Code method returns.
func codesOf(p *packages.Package, name string) (out []string) {
	for _, f := range p.Syntax {
		for _, d := range f.Decls {
			fn, ok := d.(*ast.FuncDecl)
			if !ok || fn.Name.Name != "Code" || fn.Recv == nil {
				continue
			}
			recv := p.TypesInfo.TypeOf(fn.Recv.List[0].Type)
			if ptr, ok := recv.(*types.Pointer); ok {
				recv = ptr.Elem()
			}
			if named, ok := recv.(*types.Named); !ok || named.Obj().Name() != name {
				continue
			}
			ast.Inspect(fn, func(n ast.Node) bool {
				if lit, ok := n.(*ast.BasicLit); ok && lit.Kind == token.STRING {
					out = append(out, strings.Trim(lit.Value, `"`))
				}
				return true
			})
		}
	}
	return out
}
