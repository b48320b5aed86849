// Package configuration holds the desired state that operators declare: it is
// read from files, checked whole, kept as one object in the platform and
// followed by every router.
package configuration
