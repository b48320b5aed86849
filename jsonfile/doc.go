// Package jsonfile reads JSON with comments into structs and lists every
// mistake at once, each with its file, line, path and remedy.
package jsonfile
