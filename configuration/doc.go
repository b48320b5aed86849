// Package configuration holds the desired state that operators declare: it is
// read from files, validated as a whole, stored as one object in the platform
// and applied by every chat router. The gateway does not use it: its configuration
// is a routing.Table.
package configuration
