package jsonfile

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"
)

// validate is the shared checker; it caches what it learns of types.
var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	return v
}

func (d *Document) checkValues(target any) Mistakes {
	err := validate.Struct(target)
	if err == nil {
		return nil
	}
	var refused validator.ValidationErrors
	if !errors.As(err, &refused) {
		return Mistakes{d.Mistake("", err.Error(), "report this as a fault")}
	}
	mistakes := make(Mistakes, 0, len(refused))
	for _, field := range refused {
		mistakes = append(mistakes, d.Mistake(pointerOf(field.Namespace()), wrong(field), remedy(field)))
	}
	return mistakes
}

var index = regexp.MustCompile(`\[([^\]]*)\]`)

// pointerOf turns "State.pools[0].name" into "/pools/0/name".
func pointerOf(namespace string) string {
	_, path, found := strings.Cut(namespace, ".")
	if !found {
		return ""
	}
	path = index.ReplaceAllString(path, ".$1")
	return "/" + strings.ReplaceAll(path, ".", "/")
}

func wrong(field validator.FieldError) string {
	if field.Tag() == "required" {
		return "missing or empty"
	}
	return fmt.Sprintf("%v is refused by the rule %s", field.Value(), rule(field))
}

// rule writes a validation rule as its tag has it, such as "max=100".
func rule(field validator.FieldError) string {
	if field.Param() == "" {
		return field.Tag()
	}
	return field.Tag() + "=" + field.Param()
}

// remedies holds what to do by rule; %s is the rule's parameter.
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
	"unique":        "give each entry a %s of its own",
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
