package policy

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Diff says what next changes, one line for each key that differs.
func (d Document) Diff(next Document) (lines []string) {
	before, after := d.flat(), next.flat()
	keys := maps.Clone(before)
	maps.Copy(keys, after)
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		was, had := before[key]
		is, has := after[key]
		switch {
		case !had:
			lines = append(lines, fmt.Sprintf("%s: + %s", key, is))
		case !has:
			lines = append(lines, fmt.Sprintf("%s: - %s", key, was))
		case was != is:
			lines = append(lines, fmt.Sprintf("%s: %s to %s", key, was, is))
		}
	}
	return lines
}

// flat is the document as values by their paths, such as limit[name].amount.
func (d Document) flat() map[string]string {
	out := map[string]string{}
	var tree map[string]any
	if text, err := toml.Marshal(d); err == nil && toml.Unmarshal(text, &tree) == nil {
		flatten("", tree, out)
	}
	return out
}

func flatten(path string, value any, out map[string]string) {
	switch value := value.(type) {
	case map[string]any:
		for key, member := range value {
			flatten(strings.TrimPrefix(path+"."+key, "."), member, out)
		}
	case []any:
		for i, element := range value {
			flatten(fmt.Sprintf("%s[%v]", path, elementName(path, i, element)), element, out)
		}
	default:
		out[path] = fmt.Sprint(value)
	}
}

// elementName names an element of a list by what identifies it, so that one that is added or removed leaves the paths of
// the others as they are: its team or name, a banned worker by its ID, others by their index.
func elementName(path string, index int, element any) any {
	table, isTable := element.(map[string]any)
	switch {
	case isTable && table["team"] != nil:
		return table["team"]
	case isTable && table["name"] != nil:
		return table["name"]
	case path == "ban":
		return element
	}
	return index
}
