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
	secretBytes  = 32
	secretPrefix = "syc_"
)

// key makes keys.
type key struct {
	customer string
	name     string
	record   string
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
	record, err := c.operation(secret)
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

// operation returns the record that gives the key to its customer. It expects
// that there is no key of the name.
func (c *key) operation(secret string) ([]byte, error) {
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

// writeNew writes a file that does not exist yet.
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
