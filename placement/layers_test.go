package placement

import (
	"go/ast"
	"go/importer"
	"go/parser"
	"go/token"
	"go/types"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// This file tests that files of the package use only files of lower layers, as listed in the package
// comment.

// layersOf returns the position of each file in the package comment, counted from the top.
func layersOf(comment string) map[string]int {
	layers := map[string]int{}
	for _, line := range strings.Split(comment, "\n") {
		if !strings.HasPrefix(line, "\t") {
			continue
		}
		for _, file := range regexp.MustCompile(`\w+\.go`).FindAllString(line, -1) {
			layers[file] = len(layers)
		}
	}
	return layers
}

// parsePackage parses the files of the package other than tests, and returns them with their layers.
func parsePackage(t *testing.T, set *token.FileSet) (files []*ast.File, layers map[string]int) {
	t.Helper()
	paths, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(set, path, nil, parser.ParseComments)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, file)
		if file.Doc != nil {
			layers = layersOf(file.Doc.Text())
		}
	}
	return files, layers
}

func TestFilesUseEachOtherDownwards(t *testing.T) {
	set := token.NewFileSet()
	files, layers := parsePackage(t, set)
	fileOf := func(position token.Pos) string { return filepath.Base(set.Position(position).Filename) }
	for _, file := range files {
		if _, ok := layers[fileOf(file.Pos())]; !ok {
			t.Errorf("file %s is not listed in the package comment", fileOf(file.Pos()))
		}
	}
	info := &types.Info{Uses: map[*ast.Ident]types.Object{}}
	config := types.Config{Importer: importer.ForCompiler(set, "source", nil)}
	pkg, err := config.Check("placement", set, files, info)
	if err != nil {
		t.Fatal(err)
	}
	// These files form one layer, because a worker refers to its attempts and an attempt refers to its
	// worker.
	oneLayer := []string{"worker.go", "task.go"}
	for identifier, object := range info.Uses {
		from, to := fileOf(identifier.Pos()), fileOf(object.Pos())
		inOneLayer := slices.Contains(oneLayer, from) && slices.Contains(oneLayer, to)
		if object.Pkg() == pkg && layers[from] > layers[to] && !inOneLayer {
			t.Errorf("%s: %s is declared in a higher layer, in %s, want a lower layer", set.Position(identifier.Pos()), object.Name(), to)
		}
	}
}
