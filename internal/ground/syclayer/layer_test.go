// Package syclayer_test checks the architecture of the source tree: which areas may
// import which, and that only the platform's adapter uses the platform's names.
package syclayer_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// module is the module's path with a slash.
const module = "sycamorecart.example/sycamorecart/"

// areas lists the areas, which are directories with all packages below them, from
// the lowest to the highest. A package may import its own and lower areas only.
var areas = []string{
	"internal/decide",
	"internal/ground",
	"internal/port",
	"internal/peer",
	"internal/traffic",
	"internal/operate",
	"platform",
	"internal/standin",
	"cmd",
}

// platformNames are names that only the users' platform has: HTTP headers, names in
// its store and its settings variable. Only the platform's adapter, which is the
// directory platform, may contain them.
var platformNames = []string{
	"X-Server-Stamp", "X-Token-Usage", "X-Prefix-Hash", "X-Not-Executed", "X-Expect-Instance", "X-Cache-Salt",
	"log-append", "log-newest", "keyed.op", "keyed.servers", "SYCAMORECART_SETTINGS",
}

// area returns the index in areas of the area that contains the path, or -1.
func area(path string) int {
	return slices.IndexFunc(areas, func(a string) bool { return strings.HasPrefix(path, a+"/") })
}

// eachFile calls f for each Go file of the repository, with the root directory and
// the file's path below it. Hidden directories, target and journal are left out.
func eachFile(t *testing.T, f func(root, path string)) {
	t.Helper()
	root, err := filepath.Abs("../../..")
	must.NoError(t, err)
	files := 0
	must.NoError(t, filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && (strings.HasPrefix(d.Name(), ".") || d.Name() == "target" || d.Name() == "journal") && path != root {
			return filepath.SkipDir
		}
		if strings.HasSuffix(path, ".go") {
			files++
			rel, err := filepath.Rel(root, path)
			must.NoError(t, err)
			f(root, rel)
		}
		return nil
	}))
	must.Greater(t, 100, files)
}

func TestNoImportOfHigherArea(t *testing.T) {
	eachFile(t, func(root, path string) {
		if strings.HasSuffix(path, "_test.go") {
			return
		}
		from := area(path)
		must.NonNegative(t, from, must.Sprintf("%s is in no area", path))
		parsed, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, path), nil, parser.ImportsOnly)
		must.NoError(t, err)
		for _, i := range parsed.Imports {
			name, err := strconv.Unquote(i.Path.Value)
			must.NoError(t, err)
			if rest, own := strings.CutPrefix(name, module); own {
				must.LessEq(t, from, area(rest), must.Sprintf("%s imports %s", path, rest))
			}
		}
	})
}

func TestOnlyAdapterUsesPlatformNames(t *testing.T) {
	eachFile(t, func(root, path string) {
		if strings.HasPrefix(path, "platform/") || strings.HasSuffix(path, "layer_test.go") {
			return
		}
		text, err := os.ReadFile(filepath.Join(root, path))
		must.NoError(t, err)
		for _, name := range platformNames {
			must.False(t, strings.Contains(string(text), name), must.Sprintf("%s contains %s", path, name))
		}
	})
}
