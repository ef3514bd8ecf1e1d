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

// maxDocument is the largest size of a document read from a file, in bytes.
const maxDocument = 24 << 10

// ReadDocuments reads the .md and .txt files in a folder and its subfolders, in the
// order of their names, for Options.Documents. Files are truncated to maxDocument bytes. It returns an error if there are none.
func ReadDocuments(dir string) ([]string, error) {
	var documents []string
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !entry.Type().IsRegular() || !isText(path) {
			return err
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		documents = append(documents, truncate(string(data)))
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

// isText reports whether the path has the extension of a text file.
func isText(path string) bool {
	extension := filepath.Ext(path)
	return extension == ".md" || extension == ".txt"
}

// truncate returns at most the first maxDocument bytes of text, without invalid UTF-8.
func truncate(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), maxDocument)], "")
}

// vocabulary has the words that generated texts consist of.
var vocabulary = strings.Fields(`shift rota line lot label crew dock slot lorry depot stock spring bottle
	cap seal batch order late early check note tally farm milk tanker churn tag route pickup collect dawn
	night week month plan draft move hold free full empty open close north south river valley road gate
	clean cold warm fresh test pass count sum name date time hour start end first last next before after`)

// randomText returns random words with a length of about the given number of tokens.
func randomText(rng *rand.Rand, tokens int) string {
	var text strings.Builder
	for text.Len() < tokens*sycblock.BytesPerToken {
		text.WriteString(vocabulary[rng.IntN(len(vocabulary))])
		text.WriteByte(' ')
	}
	return text.String()
}

// library holds the texts that one customer's prompts share. Each prompt begins with
// the preamble, the instructions of a role and a document, so that engines can reuse
// cached blocks of earlier prompts.
type library struct {
	// preamble begins every prompt of the customer.
	preamble string
	// roles has the instructions of each role.
	roles []string
	// documents has the documents of each role, in the order of roles.
	documents [][]string
}

// newLibrary generates a customer's shared texts. If documents are given, they are
// used instead of generated documents.
func newLibrary(rng *rand.Rand, w Workload, c Customer, given []string) *library {
	l := &library{preamble: fmt.Sprintf("You answer for %s. %s", c.name, randomText(rng, w.preamble))}
	for _, role := range w.roles {
		l.roles = append(l.roles, fmt.Sprintf("Instructions for each %s of %s. %s", role, c.name, randomText(rng, w.role)))
		documents := make([]string, c.documents)
		for i := range documents {
			documents[i] = randomText(rng, w.document)
			if len(given) > 0 {
				documents[i] = given[rng.IntN(len(given))]
			}
		}
		l.documents = append(l.documents, documents)
	}
	return l
}

// messages returns the messages of one request. Only the question isn't shared with
// other requests.
func (l *library) messages(role, document int, question string) []sycblock.Message {
	return []sycblock.Message{
		{Role: "system", Content: l.preamble},
		{Role: "system", Content: l.roles[role]},
		{Role: "user", Content: l.documents[role][document] + "\n\n" + question},
	}
}
