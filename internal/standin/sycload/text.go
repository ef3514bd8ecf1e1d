package sycload

import (
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
	"sycamorecart.example/sycamorecart/internal/decide/sycblock"
)

// maxDocument bounds a document read from a file, in bytes.
const maxDocument = 24 << 10

// Prompts reads the text files of a folder, in the order of their names, as
// documents for shared prefixes. Long files are cut. It fails when there are none.
func Prompts(dir string) ([]string, error) {
	var documents []string
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !entry.Type().IsRegular() || !isText(path) {
			return err
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		documents = append(documents, clip(string(data)))
		return nil
	})
	if err != nil {
		return nil, eris.Wrapf(err, "prompts from %s", dir)
	}
	if len(documents) == 0 {
		return nil, eris.Errorf("prompts from %s: no .md or .txt files", dir)
	}
	return documents, nil
}

func isText(path string) bool {
	extension := filepath.Ext(path)
	return extension == ".md" || extension == ".txt"
}

func clip(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), maxDocument)], "")
}

var vocabulary = strings.Fields(`shift rota line lot label crew dock slot lorry depot stock spring bottle
	cap seal batch order late early check note tally farm milk tanker churn tag route pickup collect dawn
	night week month plan draft move hold free full empty open close north south river valley road gate
	clean cold warm fresh test pass count sum name date time hour start end first last next before after`)

// prose writes about the given number of tokens of text.
func prose(rng *rand.Rand, tokens int) string {
	var text strings.Builder
	for text.Len() < tokens*sycblock.BytesPerToken {
		text.WriteString(vocabulary[rng.IntN(len(vocabulary))])
		text.WriteByte(' ')
	}
	return text.String()
}

// library holds the shared texts of one customer.
type library struct {
	preamble string
	roles    []string
	// documents has a list of texts for each role.
	documents [][]string
}

// newLibrary writes a customer's shared texts, or takes the documents given.
func newLibrary(rng *rand.Rand, w Workload, c Customer, given []string) *library {
	l := &library{preamble: fmt.Sprintf("You answer for %s. %s", c.name, prose(rng, w.preamble))}
	for _, role := range w.roles {
		l.roles = append(l.roles, fmt.Sprintf("Instructions for each %s of %s. %s", role, c.name, prose(rng, w.role)))
		documents := make([]string, c.documents)
		for i := range documents {
			documents[i] = prose(rng, w.document)
			if len(given) > 0 {
				documents[i] = given[rng.IntN(len(given))]
			}
		}
		l.documents = append(l.documents, documents)
	}
	return l
}

// messages returns the chat of one request; all but the question is shared.
func (l *library) messages(role, document int, question string) []sycblock.Message {
	return []sycblock.Message{
		{Role: "system", Content: l.preamble},
		{Role: "system", Content: l.roles[role]},
		{Role: "user", Content: l.documents[role][document] + "\n\n" + question},
	}
}
