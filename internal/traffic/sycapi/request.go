package sycapi

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"sycamorecart.example/sycamorecart/internal/decide/sycblock"
)

// Kind tells which of the two completion APIs a request is for.
type Kind int

// The kinds of completion requests.
const (
	// TextCompletion has a prompt string, as in /v1/completions.
	TextCompletion Kind = iota
	// ChatCompletion has a list of messages, as in /v1/chat/completions.
	ChatCompletion
)

// Request is a decoded and validated completion request.
type Request struct {
	kind  Kind
	model string
	// prompt is the prompt string, or the messages of a chat as one text.
	prompt string
	// maxTokens limits the number of output tokens.
	maxTokens int
	// streamed is true if the caller wants an event stream.
	streamed bool
	// includeUsage is true if a streaming caller wants the token counts.
	includeUsage bool
	// priorText is the output that a resuming caller already has.
	priorText string
}

// Kind returns the kind of completion.
func (r *Request) Kind() Kind { return r.kind }

// Model returns the name of the model, which is never empty.
func (r *Request) Model() string { return r.model }

// Prompt returns the prompt, which is never empty. The messages of a chat are joined
// into one text.
func (r *Request) Prompt() string { return r.prompt }

// MaxTokens returns the maximum number of output tokens, which is above 0.
func (r *Request) MaxTokens() int { return r.maxTokens }

// Streamed reports whether the caller wants the response as an event stream.
func (r *Request) Streamed() bool { return r.streamed }

// IncludeUsage reports whether the caller of a stream wants the token counts in a
// separate last chunk.
func (r *Request) IncludeUsage() bool { return r.includeUsage }

// PriorText returns the output text that a caller who resumes a stream already has.
// It's empty for most requests.
func (r *Request) PriorText() string { return r.priorText }

// Bounds holds the limits that Parse applies to requests.
type Bounds struct {
	// DefaultTokens is the maximum output in tokens if the request names none.
	DefaultTokens int
	// MaxTokens is the largest maximum output, in tokens, that a request may name.
	MaxTokens int
	// MaxMessages is the largest number of messages in a chat.
	MaxMessages int
}

// requestBody is the JSON body of a completion request of either kind.
type requestBody struct {
	Model string `json:"model"`
	// Prompt is the prompt of a text completion, which must be a JSON string.
	Prompt json.RawMessage `json:"prompt"`
	// Messages are the messages of a chat completion.
	Messages []requestMessage `json:"messages"`
	// MaxTokens limits the number of output tokens.
	MaxTokens *int `json:"max_tokens"`
	// MaxCompletionTokens is the API's newer name of MaxTokens.
	MaxCompletionTokens *int `json:"max_completion_tokens"`
	// N is the number of outputs to generate; only 1 is supported.
	N *int `json:"n"`
	// Stream asks for the response as an event stream.
	Stream        bool `json:"stream"`
	StreamOptions struct {
		// IncludeUsage asks for the token counts in a separate last chunk.
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	// TextSoFar is the output that a caller who resumes a stream already has. It's
	// an extension of the OpenAI API.
	TextSoFar string `json:"text_so_far"`
}

// requestMessage is a chat message.
type requestMessage struct {
	// Role is the message's author, such as "system" or "user".
	Role string `json:"role"`
	// Content is a string or a list of contentPart.
	Content json.RawMessage `json:"content"`
}

// contentPart is one part of a message's content.
type contentPart struct {
	// Type must be "text"; other parts, such as images, aren't supported.
	Type string `json:"type"`
	Text string `json:"text"`
}

// Parse decodes and validates a completion request. Its errors are of type *Failure
// and name the invalid field, if there is one.
func Parse(kind Kind, body []byte, b Bounds) (*Request, error) {
	var fields requestBody
	if err := decode(body, &fields); err != nil {
		return nil, err
	}
	r := &Request{
		kind:         kind,
		model:        fields.Model,
		streamed:     fields.Stream,
		includeUsage: fields.StreamOptions.IncludeUsage,
		priorText:    fields.TextSoFar,
	}
	if r.model == "" {
		return nil, invalidField("model", "is missing")
	}
	if fields.N != nil && *fields.N != 1 {
		return nil, invalidField("n", "must be 1")
	}
	if err := r.setPrompt(&fields, b); err != nil {
		return nil, err
	}
	if err := r.setMaxTokens(&fields, b); err != nil {
		return nil, err
	}
	return r, nil
}

// setPrompt sets the prompt from the body's prompt or messages.
func (r *Request) setPrompt(fields *requestBody, b Bounds) error {
	if r.kind == ChatCompletion {
		return r.setMessages(fields.Messages, b)
	}
	if len(fields.Prompt) == 0 {
		return invalidField("prompt", "is missing")
	}
	if err := json.Unmarshal(fields.Prompt, &r.prompt); err != nil {
		return invalidField("prompt", "must be a string")
	}
	if r.prompt == "" {
		return invalidField("prompt", "is empty")
	}
	return nil
}

// setMessages sets the prompt from the messages of a chat.
func (r *Request) setMessages(list []requestMessage, b Bounds) error {
	if len(list) == 0 {
		return invalidField("messages", "is missing or empty")
	}
	if len(list) > b.MaxMessages {
		return invalidField("messages", "has more than "+strconv.Itoa(b.MaxMessages)+" entries")
	}
	messages := make([]sycblock.Message, len(list))
	for i, m := range list {
		path := "messages[" + strconv.Itoa(i) + "]"
		if m.Role == "" {
			return invalidField(path+".role", "is missing")
		}
		text, err := messageText(path+".content", m.Content)
		if err != nil {
			return err
		}
		messages[i] = sycblock.Message{Role: m.Role, Content: text}
	}
	r.prompt = sycblock.Flatten(messages)
	return nil
}

// messageText returns the text of a message's content, which is a string or a list
// of text parts. path is the content's path in the body.
func messageText(path string, raw json.RawMessage) (string, error) {
	if len(raw) == 0 {
		return "", invalidField(path, "is missing")
	}
	if raw[0] == '"' {
		var text string
		if err := json.Unmarshal(raw, &text); err != nil {
			return "", invalidField(path, "is not a valid string")
		}
		return text, nil
	}
	var parts []contentPart
	if err := json.Unmarshal(raw, &parts); err != nil || raw[0] != '[' {
		return "", invalidField(path, "must be a string or a list of text parts")
	}
	var text strings.Builder
	for i, p := range parts {
		if p.Type != "text" {
			return "", invalidField(path+"["+strconv.Itoa(i)+"].type", "must be \"text\"")
		}
		text.WriteString(p.Text)
	}
	return text.String(), nil
}

// setMaxTokens sets the maximum output from max_tokens, max_completion_tokens or the
// default, in this order.
func (r *Request) setMaxTokens(fields *requestBody, b Bounds) error {
	path, value := "max_tokens", fields.MaxTokens
	if value == nil {
		path, value = "max_completion_tokens", fields.MaxCompletionTokens
	}
	if value == nil {
		r.maxTokens = b.DefaultTokens
		return nil
	}
	if *value < 1 || *value > b.MaxTokens {
		return invalidField(path, "must be between 1 and "+strconv.Itoa(b.MaxTokens))
	}
	r.maxTokens = *value
	return nil
}

// decode unmarshals a body that holds exactly one JSON value. Its errors are of type
// *Failure.
func decode(body []byte, into any) error {
	if err := json.Unmarshal(body, into); err != nil {
		return decodeFailure(err)
	}
	return nil
}

// decodeFailure describes an error of encoding/json with its position in the body.
func decodeFailure(err error) error {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return invalidJSON("", "byte "+strconv.FormatInt(syntax.Offset, 10)+": "+syntax.Error())
	}
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return invalidJSON(mismatch.Field, mismatch.Field+" at byte "+strconv.FormatInt(mismatch.Offset, 10)+": must not be a JSON "+mismatch.Value)
	}
	return invalidJSON("", "the body is not a whole JSON value")
}

// invalidJSON returns the failure for a body that isn't valid JSON or has a field of
// the wrong type. path is the field's path, or empty.
func invalidJSON(path, message string) *Failure {
	f := Invalid(http.StatusBadRequest, "invalid_json", "%s", message)
	f.Param = path
	return f
}

// invalidField returns the failure for a field with an invalid value. problem follows
// the field's path in the message, such as "is missing".
func invalidField(path, problem string) *Failure {
	f := Invalid(http.StatusBadRequest, "invalid_request", "%s %s", path, problem)
	f.Param = path
	return f
}
