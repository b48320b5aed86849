// Package chat parses the parts of OpenAI-style chat requests that routing needs, and joins
// streamed chunks into a complete response.
package chat
