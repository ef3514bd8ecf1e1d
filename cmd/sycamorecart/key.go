package main

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/google/uuid"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
)

const keyUsage = `key -customer NAME [-name NAME] [-record FILE]
  Makes a key of 256 random bits. With -record the record goes to the file and
  the secret to standard output; without, the record goes to standard output
  and the secret to standard error. The secret is shown this once and kept
  nowhere; the record holds its SHA-256 only.

  Example:
    sycamorecart key -customer dairy-volos -record key.json >secret.txt
    sycamorecart publish -log http://127.0.0.1:9000 key.json

  Exit codes: 0 made, 1 the record could not be written, 2 wrong arguments.
`

const (
	// secretBytes is the number of random bytes in a key's secret.
	secretBytes = 32
	// secretPrefix begins the secret of every key.
	secretPrefix = "syc_"
)

// key is the command that makes an API key: a secret for the customer and a record
// with the secret's hash for the log.
type key struct {
	// customer is the name of the customer that the key acts for.
	customer string
	// name is the key's name in the record; empty to derive it from customer.
	name string
	// record is the path of the file for the record; empty for standard output.
	record string
}

func newKey() subcommands.Command { return &key{} }

// Name implements subcommands.Command.
func (*key) Name() string { return "key" }

// Synopsis implements subcommands.Command.
func (*key) Synopsis() string { return "make a key" }

// Usage implements subcommands.Command.
func (*key) Usage() string { return keyUsage }

// SetFlags implements subcommands.Command.
func (c *key) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.customer, "customer", "", "`name` of the customer that the key acts for")
	f.StringVar(&c.name, "name", "", "`name` of the key; made from the customer's if empty")
	f.StringVar(&c.record, "record", "", "`file` for the record; it must not exist")
}

// Execute implements subcommands.Command.
func (c *key) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.customer == "" || f.NArg() > 0 {
		fmt.Fprint(os.Stderr, keyUsage)
		return subcommands.ExitUsageError
	}
	random := make([]byte, secretBytes)
	rand.Read(random)
	secret := secretPrefix + base64.RawURLEncoding.EncodeToString(random)
	record, err := c.newRecord(secret)
	if err != nil {
		return fail(err, subcommands.ExitUsageError)
	}
	if c.record == "" {
		fmt.Fprintln(os.Stderr, secret)
		fmt.Printf("%s\n", record)
		return subcommands.ExitSuccess
	}
	if err := writeNew(c.record, record); err != nil {
		return fail(err, subcommands.ExitFailure)
	}
	fmt.Println(secret)
	return subcommands.ExitSuccess
}

// newRecord returns the JSON of the record that adds the key to the customer. The
// record expects generation 0 (a key's generation is the number of accepted operations
// on it), so it is rejected if a key of this name exists or ever existed.
func (c *key) newRecord(secret string) ([]byte, error) {
	id := uuid.NewString()
	name := c.name
	if name == "" {
		name = c.customer + "-" + id[:8]
	}
	hash := sha256.Sum256([]byte(secret))
	spec, err := json.Marshal(sycrecord.KeyFields{
		Customer: c.customer,
		SHA256:   hex.EncodeToString(hash[:]),
	})
	if err != nil {
		return nil, err
	}
	record, err := json.Marshal(sycrecord.Operation{
		Schema: sycrecord.NewestSchema,
		ID:     id,
		Verb:   sycrecord.Put,
		Kind:   sycrecord.KindKey,
		Name:   name,
		Expect: new(uint64),
		Spec:   spec,
	})
	if err != nil {
		return nil, err
	}
	_, err = sycrecord.Parse(record)
	return record, err
}

// writeNew writes data and a newline to a new file, readable by its owner only. It
// fails if the file exists.
func writeNew(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	if _, err := file.Write(append(data, '\n')); err != nil {
		file.Close()
		return err
	}
	return file.Close()
}
