package jsonfile

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"
)

// validate is shared by all documents, as it caches the rules of each type.
var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	return v
}

func (d *Document) checkValues(target any) ValidationErrors {
	err := validate.Struct(target)
	if err == nil {
		return nil
	}
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) {
		return ValidationErrors{d.ErrorAt("", err.Error(), "report this as a bug")}
	}
	errs := make(ValidationErrors, 0, len(invalid))
	for _, field := range invalid {
		errs = append(errs, d.ErrorAt(pointerOf(field.Namespace()), message(field), remedy(field)))
	}
	return errs
}

// elementIndex matches the index of a list or the key of a map in a namespace of the validator. A key may
// contain dots, slashes and brackets.
var elementIndex = regexp.MustCompile(`\[(.*?)\](\.|\[|$)`)

// pointerOf turns a field's namespace, as the validator reports it, into a JSON pointer:
// "File.pools[0].name", with the name of the decoded struct, into "/pools/0/name".
func pointerOf(namespace string) string {
	_, path, found := strings.Cut(namespace, ".")
	if !found {
		return ""
	}
	pointer := ""
	for path != "" {
		if path[0] == '[' {
			if match := elementIndex.FindStringSubmatchIndex(path); match != nil {
				pointer += "/" + escape(path[match[2]:match[3]])
				path = strings.TrimPrefix(path[match[3]+len("]"):], ".")
				continue
			}
		}
		end := strings.IndexAny(path[1:], ".[") + 1
		if end == 0 {
			end = len(path)
		}
		pointer += "/" + escape(path[:end])
		path = strings.TrimPrefix(path[end:], ".")
	}
	return pointer
}

func message(field validator.FieldError) string {
	if field.Tag() == "required" {
		return "missing or empty"
	}
	return fmt.Sprintf("%v violates the rule %s", field.Value(), rule(field))
}

// rule returns a validation rule as written in its tag, such as "max=100".
func rule(field validator.FieldError) string {
	if field.Param() == "" {
		return field.Tag()
	}
	return field.Tag() + "=" + field.Param()
}

// remedies maps a validation rule to what to do about a value that violates it; %s is the rule's
// parameter.
var remedies = map[string]string{
	"required":      "give a value",
	"hostname_port": "write HOST:PORT, such as 127.0.0.1:8080",
	"url":           "write a URL, such as http://127.0.0.1:8500",
	"oneof":         "use one of: %s",
	"min":           "use at least %s",
	"max":           "use at most %s",
	"gt":            "use more than %s",
	"gte":           "use at least %s",
	"lte":           "use at most %s",
	"unique":        "give each entry a different %s",
	"len":           "use exactly %s characters",
	"hexadecimal":   "write hexadecimal digits",
}

func remedy(field validator.FieldError) string {
	text, known := remedies[field.Tag()]
	if !known {
		return "follow the rule " + rule(field)
	}
	if strings.Contains(text, "%s") {
		return fmt.Sprintf(text, field.Param())
	}
	return text
}
