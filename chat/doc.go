// Package chat reads OpenAI-style chat requests as far as routing needs them,
// and joins streamed chunks into a whole answer.
package chat
