package sycapi

import (
	"encoding/json"
	"strconv"
)

// Usage counts the tokens of one answer.
type Usage struct {
	Prompt     int
	Completion int
	// Cached is the part of Prompt that the engine did not compute again.
	Cached int
}

type wireUsage struct {
	PromptTokens     int         `json:"prompt_tokens"`
	CompletionTokens int         `json:"completion_tokens"`
	TotalTokens      int         `json:"total_tokens"`
	Details          wireDetails `json:"prompt_tokens_details"`
}

type wireDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func (u Usage) wire() *wireUsage {
	return &wireUsage{
		PromptTokens:     u.Prompt,
		CompletionTokens: u.Completion,
		TotalTokens:      u.Prompt + u.Completion,
		Details:          wireDetails{u.Cached},
	}
}

// Encoder encodes the answers to one request.
type Encoder struct {
	form    Kind
	id      string
	model   string
	created int64
	// head is the part of a chunk before its text; it is the same for all chunks.
	head []byte
}

// NewEncoder returns an encoder. The id and the creation time, in Unix seconds,
// are the same in every chunk.
func NewEncoder(r *Request, id string, created int64) *Encoder {
	a := &Encoder{form: r.form, id: id, model: r.model, created: created}
	a.head = a.appendHead(nil)
	return a
}

func (a *Encoder) object() string {
	if a.form == ChatCompletion {
		return "chat.completion.chunk"
	}
	return "text_completion"
}

func (a *Encoder) appendHead(b []byte) []byte {
	b = append(b, `{"id":`...)
	b = appendString(b, a.id)
	b = append(b, `,"object":"`...)
	b = append(b, a.object()...)
	b = append(b, `","created":`...)
	b = strconv.AppendInt(b, a.created, 10)
	b = append(b, `,"model":`...)
	return appendString(b, a.model)
}

// AppendToken appends the chunk for one token.
func (a *Encoder) AppendToken(b []byte, index int, text string) []byte {
	b = append(b, a.head...)
	if a.form == TextCompletion {
		b = append(b, `,"choices":[{"index":0,"text":`...)
		b = appendString(b, text)
		return append(b, `,"finish_reason":null}]}`...)
	}
	b = append(b, `,"choices":[{"index":0,"delta":{`...)
	if index == 0 {
		b = append(b, `"role":"assistant",`...)
	}
	b = append(b, `"content":`...)
	b = appendString(b, text)
	return append(b, `},"finish_reason":null}]}`...)
}

// AppendFinish appends the chunk that ends the choice. Its usage is left out
// when a chunk of its own follows.
func (a *Encoder) AppendFinish(b []byte, reason string, u Usage, withUsage bool) []byte {
	b = append(b, a.head...)
	if a.form == TextCompletion {
		b = append(b, `,"choices":[{"index":0,"text":"","finish_reason":`...)
	} else {
		b = append(b, `,"choices":[{"index":0,"delta":{},"finish_reason":`...)
	}
	b = appendString(b, reason)
	b = append(b, `}]`...)
	if withUsage {
		b = appendUsage(b, u)
	}
	return append(b, '}')
}

// AppendUsage appends the chunk that carries only the usage.
func (a *Encoder) AppendUsage(b []byte, u Usage) []byte {
	b = append(b, a.head...)
	b = append(b, `,"choices":[]`...)
	b = appendUsage(b, u)
	return append(b, '}')
}

func appendUsage(b []byte, u Usage) []byte {
	data, err := json.Marshal(u.wire())
	if err != nil {
		return b
	}
	b = append(b, `,"usage":`...)
	return append(b, data...)
}

type wireAnswer struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []wireChoice `json:"choices"`
	Usage   *wireUsage   `json:"usage"`
}

type wireChoice struct {
	Index        int           `json:"index"`
	Text         *string       `json:"text,omitempty"`
	Message      *wireReplyMsg `json:"message,omitempty"`
	FinishReason string        `json:"finish_reason"`
}

type wireReplyMsg struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// EncodeResponse encodes an answer that is not streamed.
func (a *Encoder) EncodeResponse(text, reason string, u Usage) ([]byte, error) {
	choice := wireChoice{FinishReason: reason}
	object := "text_completion"
	if a.form == ChatCompletion {
		object = "chat.completion"
		choice.Message = &wireReplyMsg{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	return json.Marshal(wireAnswer{
		ID:      a.id,
		Object:  object,
		Created: a.created,
		Model:   a.model,
		Choices: []wireChoice{choice},
		Usage:   u.wire(),
	})
}

type wireModels struct {
	Object string      `json:"object"`
	Data   []wireModel `json:"data"`
}

type wireModel struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// Models encodes the list of models.
func Models(names []string) ([]byte, error) {
	list := wireModels{Object: "list", Data: make([]wireModel, 0, len(names))}
	for _, name := range names {
		list.Data = append(list.Data, wireModel{ID: name, Object: "model", OwnedBy: "sycamorecart"})
	}
	return json.Marshal(list)
}

const hexDigits = "0123456789abcdef"

// appendString appends a JSON string. Text that needs more than the common
// escapes goes through encoding/json.
func appendString(b []byte, s string) []byte {
	b = append(b, '"')
	for i := 0; i < len(s); i++ {
		c := s[i]
		switch {
		case c == '"' || c == '\\':
			b = append(b, '\\', c)
		case c == '\n':
			b = append(b, '\\', 'n')
		case c < ' ':
			b = append(b, '\\', 'u', '0', '0', hexDigits[c>>4], hexDigits[c&15])
		default:
			b = append(b, c)
		}
	}
	return append(b, '"')
}
