package config

// This file owns the conversion of nested settings to the flat path=value pairs of the simulator's
// wire format. It must never interpret a setting.

import (
	"strconv"
	"strings"

	"github.com/tidwall/gjson"
)

// Pairs returns nested settings as the path=value pairs of the simulator's wire format, in the order
// in which the settings appear in the JSON text.
func Pairs(settings gjson.Result) []string {
	var pairs []string
	flatten("", settings, &pairs)
	return pairs
}

// flatten appends the pairs of the value at path to pairs.
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

// flattenArray appends the pairs of the array at path to pairs. An array of objects becomes a pair for its
// length, such as RequestClasses.count=2, and the pairs of each object. The index of the object is part of their
// paths, as in RequestClasses.0.Name. Any other array becomes one pair with the items separated by commas.
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

// join returns path, a dot and name. If path is empty, as it is for the settings as a whole, join returns
// name alone.
func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// separators replaces spaces and commas in a single value by underscores. On the simulator's wire, a space
// separates two pairs, and a comma separates two items of an array.
var separators = strings.NewReplacer(" ", "_", ",", "_")

// scalar returns a value in the simulator's wire format, in which "-" stands for null.
func scalar(value gjson.Result) string {
	if value.Type == gjson.Null {
		return "-"
	}
	return separators.Replace(value.String())
}
