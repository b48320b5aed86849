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

// typeChecker compares the values of a document with the Go types that they are decoded into.
type typeChecker struct {
	document *Document
	errs     ValidationErrors
}

func (d *Document) checkTypes(target any) ValidationErrors {
	c := typeChecker{
		document: d,
	}
	c.checkValue("", &d.root, reflect.TypeOf(target).Elem())
	return c.errs
}

func (c *typeChecker) add(pointer, message, remedy string) {
	c.errs = append(c.errs, c.document.ErrorAt(pointer, message, remedy))
}

func (c *typeChecker) checkValue(pointer string, value *hujson.Value, goType reflect.Type) {
	if goType.Kind() == reflect.Pointer {
		c.checkValue(pointer, value, goType.Elem())
		return
	}
	if _, ok := reflect.New(goType).Interface().(encoding.TextUnmarshaler); ok {
		c.checkLiteral(pointer, value, goType)
		return
	}
	switch goType.Kind() {
	case reflect.Struct:
		c.checkObject(pointer, value, goType)
	case reflect.Map:
		c.checkMap(pointer, value, goType)
	case reflect.Slice:
		c.checkArray(pointer, value, goType)
	default:
		c.checkLiteral(pointer, value, goType)
	}
}

func (c *typeChecker) checkObject(pointer string, value *hujson.Value, goType reflect.Type) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		c.add(pointer, "not an object", "write { … }")
		return
	}
	fields := fieldsOf(goType)
	seen := make(map[string]bool, len(object.Members))
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		memberPointer := pointer + "/" + escape(name)
		if seen[name] {
			c.add(memberPointer, "duplicate field", "remove one of the two")
		}
		seen[name] = true
		field, known := fields[name]
		if !known {
			c.add(memberPointer, "unknown field", "remove it, or use one of "+sortedNames(fields))
			continue
		}
		c.checkValue(memberPointer, &member.Value, field)
	}
}

func (c *typeChecker) checkMap(pointer string, value *hujson.Value, goType reflect.Type) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		c.add(pointer, "not an object", "write { … }")
		return
	}
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		c.checkValue(pointer+"/"+escape(name), &member.Value, goType.Elem())
	}
}

func (c *typeChecker) checkArray(pointer string, value *hujson.Value, goType reflect.Type) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		c.add(pointer, "not a list", "write [ … ]")
		return
	}
	for i := range array.Elements {
		c.checkValue(fmt.Sprintf("%s/%d", pointer, i), &array.Elements[i], goType.Elem())
	}
}

func (c *typeChecker) checkLiteral(pointer string, value *hujson.Value, goType reflect.Type) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok {
		c.add(pointer, "not a single value", "write a "+describe(goType))
		return
	}
	if err := json.Unmarshal(literal, reflect.New(goType).Interface()); err != nil {
		c.add(pointer, fmt.Sprintf("%s is not a %s", literal, describe(goType)), "write a "+describe(goType))
	}
}

// describe returns the term that messages use for a type.
func describe(goType reflect.Type) string {
	if goType == reflect.TypeFor[Duration]() {
		return `duration such as "1.5s", or a whole number`
	}
	switch goType.Kind() {
	case reflect.String:
		return "string"
	case reflect.Bool:
		return "boolean (true or false)"
	case reflect.Int, reflect.Int32, reflect.Int64, reflect.Uint32, reflect.Uint64:
		return "whole number"
	case reflect.Float64:
		return "number"
	default:
		return goType.Name()
	}
}

// fieldsOf returns the types of a struct's fields by their JSON names.
func fieldsOf(goType reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, goType.NumField())
	for i := range goType.NumField() {
		if name := jsonName(goType.Field(i)); name != "" {
			fields[name] = goType.Field(i).Type
		}
	}
	return fields
}

// jsonName returns the name in a field's json tag; empty for "-" and for a field without a tag.
func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	if name == "-" {
		return ""
	}
	return name
}

// sortedNames returns the names of the fields in alphabetical order, separated by commas.
func sortedNames(fields map[string]reflect.Type) string {
	sorted := make([]string, 0, len(fields))
	for name := range fields {
		sorted = append(sorted, name)
	}
	slices.Sort(sorted)
	return strings.Join(sorted, ", ")
}

// escape escapes a name for use in a JSON pointer.
func escape(name string) string {
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(name)
}
