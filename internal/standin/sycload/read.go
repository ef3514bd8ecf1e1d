package sycload

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
)

const maxLine = 1 << 20

type chunk struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *usage          `json:"usage"`
	Error json.RawMessage `json:"error"`
}

// readStream reads server-sent events up to [DONE].
func (x *exchange) readStream(response *http.Response) {
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(make([]byte, 0, 4096), maxLine)
	finished := false
	for lines.Scan() {
		if id, ok := bytes.CutPrefix(lines.Bytes(), []byte("id:")); ok && !x.inOrder(id) {
			x.o.verdict, x.o.reason = Wrong, "a token is out of order"
			return
		}
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == "[DONE]" {
			if !finished {
				x.o.verdict, x.o.reason = Wrong, "the end came before a finish reason"
			}
			return
		}
		var c chunk
		if err := json.Unmarshal(data, &c); err != nil {
			x.o.verdict, x.o.reason = Wrong, "a chunk isn't JSON"
			return
		}
		if c.Error != nil {
			x.breakOff("an error in the stream")
			return
		}
		finished = x.take(c) || finished
	}
	x.breakOff("the stream broke off")
}

// inOrder reports whether an event's id is the index of the next token.
func (x *exchange) inOrder(id []byte) bool {
	n, err := strconv.Atoi(string(bytes.TrimSpace(id)))
	return err == nil && n == len(x.tokens)
}

// take reports whether the chunk ends the choice.
func (x *exchange) take(c chunk) (finished bool) {
	if c.Usage != nil {
		x.o.usage = *c.Usage
	}
	for _, choice := range c.Choices {
		if text := choice.Text + choice.Delta.Content; text != "" {
			x.token(text)
		}
		finished = finished || choice.FinishReason != nil && *choice.FinishReason != ""
	}
	return finished
}

// readWhole reads an answer that is not streamed.
func (x *exchange) readWhole(response *http.Response) {
	var c chunk
	if err := json.NewDecoder(response.Body).Decode(&c); err != nil {
		x.breakOff("the answer broke off")
		return
	}
	if c.Usage != nil {
		x.o.usage = *c.Usage
	}
	for _, choice := range c.Choices {
		x.tokens = append(x.tokens, choice.Message.Content)
	}
}
