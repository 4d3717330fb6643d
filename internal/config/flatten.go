package config

// This file owns how nested settings become the flat pairs of the simulator's wire. It
// must never interpret one.

import (
	"strconv"
	"strings"

	"github.com/tidwall/gjson"
)

// Pairs returns nested settings as the path=value pairs of the simulator's wire, in the
// order of the text.
func Pairs(settings gjson.Result) []string {
	var pairs []string
	flatten("", settings, &pairs)
	return pairs
}

// flatten appends the pairs of a value at a path.
func flatten(path string, value gjson.Result, pairs *[]string) {
	switch {
	case value.IsObject():
		value.ForEach(func(key, field gjson.Result) bool {
			flatten(join(path, key.String()), field, pairs)
			return true
		})
	case value.IsArray():
		flattenArray(path, value.Array(), pairs)
	default:
		*pairs = append(*pairs, path+"="+scalar(value))
	}
}

// flattenArray appends the pairs of an array: its length and one path an item if these are
// objects, else one pair with the items separated by commas.
func flattenArray(path string, items []gjson.Result, pairs *[]string) {
	if len(items) > 0 && items[0].IsObject() {
		*pairs = append(*pairs, join(path, "count")+"="+strconv.Itoa(len(items)))
		for i, item := range items {
			flatten(join(path, strconv.Itoa(i)), item, pairs)
		}
		return
	}
	scalars := make([]string, len(items))
	for i, item := range items {
		scalars[i] = scalar(item)
	}
	*pairs = append(*pairs, path+"="+strings.Join(scalars, ","))
}

// join returns the path of a field.
func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// separators can't stand within a value on the simulator's wire.
var separators = strings.NewReplacer(" ", "_", ",", "_")

// scalar returns a value as the simulator's wire has it; "-" is none.
func scalar(value gjson.Result) string {
	if value.Type == gjson.Null {
		return "-"
	}
	return separators.Replace(value.String())
}
