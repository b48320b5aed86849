// Package jsonfile decodes JSON with comments into structs and reports all
// errors at once, each with its file, line, path and remedy.
package jsonfile
