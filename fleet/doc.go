// Package fleet joins the configuration in force with what is known of boxes
// into the view that placement and admission decide by.
package fleet
