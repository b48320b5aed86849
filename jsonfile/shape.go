package jsonfile

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// shape walks a document beside a Go type.
type shape struct {
	document *Document
	mistakes Mistakes
}

func (d *Document) checkShape(target any) Mistakes {
	s := shape{
		document: d,
	}
	s.value("", &d.root, reflect.TypeOf(target).Elem())
	return s.mistakes
}

func (s *shape) add(pointer, message, remedy string) {
	s.mistakes = append(s.mistakes, s.document.Mistake(pointer, message, remedy))
}

func (s *shape) value(pointer string, value *hujson.Value, kind reflect.Type) {
	if kind.Kind() == reflect.Pointer {
		s.value(pointer, value, kind.Elem())
		return
	}
	if _, ok := reflect.New(kind).Interface().(encoding.TextUnmarshaler); ok {
		s.literal(pointer, value, kind)
		return
	}
	switch kind.Kind() {
	case reflect.Struct:
		s.object(pointer, value, kind)
	case reflect.Map:
		s.mapping(pointer, value, kind)
	case reflect.Slice:
		s.array(pointer, value, kind)
	default:
		s.literal(pointer, value, kind)
	}
}

func (s *shape) object(pointer string, value *hujson.Value, kind reflect.Type) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		s.add(pointer, "not an object", "write { … }")
		return
	}
	fields := fieldsOf(kind)
	seen := make(map[string]bool, len(object.Members))
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		below := pointer + "/" + escape(name)
		if seen[name] {
			s.add(below, "field given twice", "keep one of them")
		}
		seen[name] = true
		field, known := fields[name]
		if !known {
			s.add(below, "unknown field", "remove it, or use one of "+names(fields))
			continue
		}
		s.value(below, &member.Value, field)
	}
}

func (s *shape) mapping(pointer string, value *hujson.Value, kind reflect.Type) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		s.add(pointer, "not an object", "write { … }")
		return
	}
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		s.value(pointer+"/"+escape(name), &member.Value, kind.Elem())
	}
}

func (s *shape) array(pointer string, value *hujson.Value, kind reflect.Type) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		s.add(pointer, "not a list", "write [ … ]")
		return
	}
	for i := range array.Elements {
		s.value(fmt.Sprintf("%s/%d", pointer, i), &array.Elements[i], kind.Elem())
	}
}

func (s *shape) literal(pointer string, value *hujson.Value, kind reflect.Type) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok {
		s.add(pointer, "not a single value", "write a "+describe(kind))
		return
	}
	if err := json.Unmarshal(literal, reflect.New(kind).Interface()); err != nil {
		s.add(pointer, fmt.Sprintf("%s is no %s", literal, describe(kind)), "write a "+describe(kind))
	}
}

// describe names a type in a reader's words.
func describe(kind reflect.Type) string {
	switch kind.Kind() {
	case reflect.String:
		return "string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int64:
		return `duration such as "1.5s", or a whole number`
	case reflect.Int, reflect.Int32, reflect.Uint32, reflect.Uint64:
		return "whole number"
	case reflect.Float64:
		return "number"
	default:
		return kind.Name()
	}
}

// fieldsOf gives a struct's fields by their JSON names.
func fieldsOf(kind reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, kind.NumField())
	for i := range kind.NumField() {
		if name := jsonName(kind.Field(i)); name != "" {
			fields[name] = kind.Field(i).Type
		}
	}
	return fields
}

// jsonName is the name in a field's json tag; empty for "-" and without tag.
func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	if name == "-" {
		return ""
	}
	return name
}

func names(fields map[string]reflect.Type) string {
	sorted := make([]string, 0, len(fields))
	for name := range fields {
		sorted = append(sorted, name)
	}
	slices.Sort(sorted)
	return strings.Join(sorted, ", ")
}

// escape makes a name fit for a JSON pointer.
func escape(name string) string {
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(name)
}
