// Package keys generates the keys of client accounts and computes the key hashes
// that go into the configuration.
package keys

import (
	"bufio"
	"crypto/rand"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/pumiceyard/pumiceyard/internal/version/document"
)

const (
	keyPrefix   = "py_"
	randomBytes = 32
)

// New generates a random key and prints it with its hash.
func New(w io.Writer) error {
	var random [randomBytes]byte
	if _, err := rand.Read(random[:]); err != nil {
		return err
	}
	key := keyPrefix + base64.RawURLEncoding.EncodeToString(random[:])
	_, err := fmt.Fprintf(w, "key       %s\nkey_hash  %s\n", key, document.KeyHash(key))
	return err
}

var errNoKey = errors.New("no key on standard input")

// Hash reads a key from the first line of r and prints its hash. The key is not
// taken from the command line, since other users of the machine can read the
// arguments of a process.
func Hash(r io.Reader, w io.Writer) error {
	line, err := bufio.NewReader(r).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	key := strings.TrimSpace(line)
	if key == "" {
		return errNoKey
	}
	_, err = fmt.Fprintln(w, document.KeyHash(key))
	return err
}
