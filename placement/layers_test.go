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

// This file tests that the files of the package use each other as the package comment says.

// layerOf returns the places of the files in the package comment, counted from the top.
func layerOf(t *testing.T, comment string) map[string]int {
	t.Helper()
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

func TestFilesUseEachOtherDownwards(t *testing.T) {
	paths, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	set := token.NewFileSet()
	var files []*ast.File
	var layers map[string]int
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
			layers = layerOf(t, file.Doc.Text())
		}
	}
	info := &types.Info{Uses: map[*ast.Ident]types.Object{}}
	config := types.Config{Importer: importer.ForCompiler(set, "source", nil)}
	pkg, err := config.Check("placement", set, files, info)
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		if name := filepath.Base(set.Position(file.Pos()).Filename); layers[name] == 0 && name != "scheduler.go" {
			t.Errorf("%s is missing in the package comment", name)
		}
	}
	// A worker knows its attempts, an attempt its worker.
	oneLayer := []string{"worker.go", "task.go"}
	for id, object := range info.Uses {
		if object.Pkg() != pkg {
			continue
		}
		from := filepath.Base(set.Position(id.Pos()).Filename)
		to := filepath.Base(set.Position(object.Pos()).Filename)
		upwards := layers[from] > layers[to]
		if upwards && !(slices.Contains(oneLayer, from) && slices.Contains(oneLayer, to)) {
			t.Errorf("%s: %s is declared further up, in %s", set.Position(id.Pos()), object.Name(), to)
		}
	}
}
