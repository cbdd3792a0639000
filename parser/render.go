package parser

import (
	"bytes"
	"maps"
	"slices"
	"strconv"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"sycamorerun"
)

// sectionOrder is the order of the sections in a rendered file.
var sectionOrder = []string{"teams", "services", "routes", "limits", "accounts"}

// Render returns a settings file that Parse reads as the given items of team.
// Holds are omitted because settings files do not contain them.
func Render(team string, items map[sycamorerun.Path]sycamorerun.Item) ([]byte, error) {
	sectionNodes := map[string]*yaml.Node{}
	for _, path := range slices.Sorted(maps.Keys(items)) {
		owner, kind, name := path.Split()
		if owner != team {
			return nil, errors.Errorf("item %s does not belong to team %s", path, team)
		}
		if kind == sycamorerun.KindHold {
			continue
		}
		object, faults := Decode(path, items[path])
		if len(faults) > 0 {
			return nil, errors.Errorf("item %s: %s", faults[0].Path, faults[0].Reason)
		}
		if name == "" {
			sectionNodes[kind] = objectNode(kind, object, 0)
			continue
		}
		if sectionNodes[kind] == nil {
			sectionNodes[kind] = newMapping(0)
		}
		appendPair(sectionNodes[kind], name, objectNode(kind, object, 0))
	}
	root := newMapping(0)
	appendPair(root, "team", textNode(team))
	for _, name := range sectionOrder {
		if node := sectionNodes[sections[name].kind]; node != nil {
			appendPair(root, name, node)
		}
	}
	var text bytes.Buffer
	encoder := yaml.NewEncoder(&text)
	encoder.SetIndent(2)
	if err := encoder.Encode(root); err != nil {
		return nil, errors.Wrap(err, "render settings")
	}
	return text.Bytes(), errors.Wrap(encoder.Close(), "render settings")
}

func newMapping(style yaml.Style) *yaml.Node {
	return &yaml.Node{Kind: yaml.MappingNode, Tag: "!!map", Style: style}
}

func appendPair(node *yaml.Node, key string, value *yaml.Node) {
	node.Content = append(node.Content, textNode(key), value)
}

func textNode(text string) *yaml.Node {
	return &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!str", Value: text}
}

// boolNode returns the node of a flag, or nil for one that is not set.
func boolNode(value bool) *yaml.Node {
	if !value {
		return nil
	}
	return &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!bool", Value: "true"}
}

// objectNode returns a mapping of the object's fields in the order of
// objectFields, without empty lists and maps, flags that are not set and empty labels.
func objectNode(kind string, object any, style yaml.Style) *yaml.Node {
	node := newMapping(style)
	for _, field := range fieldsByObject[kind] {
		pointer := field.pointer(object)
		if text, ok := pointer.(*string); ok && *text == "" && field.Default == "" {
			continue
		}
		if value := valueNode(pointer); value != nil {
			appendPair(node, field.Name, value)
		}
	}
	return node
}

// valueNode returns the node of a field's value, or nil for an empty list or
// map.
func valueNode(value any) *yaml.Node {
	switch value := value.(type) {
	case *int:
		return &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!int", Value: strconv.Itoa(*value)}
	case *float64:
		return &yaml.Node{Kind: yaml.ScalarNode, Value: strconv.FormatFloat(*value, 'g', -1, 64)}
	case *bool:
		return boolNode(*value)
	case *sycamorerun.Duration:
		return textNode(durationText(*value))
	case *string:
		return textNode(*value)
	case *[]string:
		return sequenceNode(*value, yaml.FlowStyle, func(text *string) *yaml.Node { return textNode(*text) })
	case *map[string]string:
		return textMapNode(*value)
	case *[]sycamorerun.Target:
		return sequenceNode(*value, 0, func(target *sycamorerun.Target) *yaml.Node {
			return objectNode(objectTarget, target, yaml.FlowStyle)
		})
	case *[]sycamorerun.Operator:
		return sequenceNode(*value, 0, func(operator *sycamorerun.Operator) *yaml.Node {
			return objectNode(objectOperator, operator, yaml.FlowStyle)
		})
	}
	panic("no YAML form for the field's type")
}

func sequenceNode[T any](values []T, style yaml.Style, convert func(*T) *yaml.Node) *yaml.Node {
	if len(values) == 0 {
		return nil
	}
	node := &yaml.Node{Kind: yaml.SequenceNode, Tag: "!!seq", Style: style}
	for i := range values {
		node.Content = append(node.Content, convert(&values[i]))
	}
	return node
}

func textMapNode(values map[string]string) *yaml.Node {
	if len(values) == 0 {
		return nil
	}
	node := newMapping(yaml.FlowStyle)
	for _, key := range slices.Sorted(maps.Keys(values)) {
		appendPair(node, key, textNode(values[key]))
	}
	return node
}
