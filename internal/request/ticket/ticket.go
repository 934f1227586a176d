// Package ticket mints and checks the identity of a submission.
//
// A ticket names the one incarnation of one entry VM that may start the
// submission's tasks (its home), and fixes the set of workers that may ever run
// them (its candidates). Minting has no side effect and needs no store, so a
// caller may ask for tickets at will and keep them until they expire.
//
// Contract: two tickets never share an ID, because an incarnation is never
// reused and its counter only grows. A ticket is bound to one client account;
// the keyed hash makes any change to it evident.
package ticket

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/request/reason"
)

// ID identifies a submission. The zero ID is never minted.
type ID struct {
	Incarnation uint64
	Counter     uint64
}

// String renders the ID as "incarnation-counter" in hexadecimal.
func (id ID) String() string {
	return strconv.FormatUint(id.Incarnation, 16) + "-" + strconv.FormatUint(id.Counter, 16)
}

// Ticket is the decoded form of a caller's token.
type Ticket struct {
	ID          ID
	Expiry      time.Time // no start is accepted afterwards
	ListVersion uint64    // VM list version the candidates were chosen from
	Digest      uint64    // digest over the candidates
	Home        string    // entry VM that minted the ticket
	Domain      string    // failure domain of the home
	Account     string    // client account the ticket was minted for
}

// Generation orders the attempts at driving one submission. Two entry VMs never
// share one, because Author is an incarnation.
//
// Raise compares last: a driver that raises its own generation stays below every
// other one that is above it. Were it to pass, its starts would be accepted
// again on workers that the other one has sealed, and one would see a task start
// under both. Only Next passes another driver, and whoever uses it has to ask
// all candidates first.
type Generation struct {
	Counter uint32 // takeovers before this one
	Author  uint64
	Raise   uint32 // within Author's drive
}

// Less reports whether g is older than other.
func (g Generation) Less(other Generation) bool {
	if g.Counter != other.Counter {
		return g.Counter < other.Counter
	}
	if g.Author != other.Author {
		return g.Author < other.Author
	}
	return g.Raise < other.Raise
}

// Next is the author's first generation above all that g's author can raise to.
func (g Generation) Next(author uint64) Generation {
	return Generation{Counter: g.Counter + 1, Author: author}
}

// Raised is the same author's next generation, below everyone who is above g.
func (g Generation) Raised() Generation {
	g.Raise++
	return g
}

// Error tells why a token was not accepted. Nothing has run when it is returned.
type Error struct {
	Code   reason.Code
	Detail string
}

func (e *Error) Error() string { return string(e.Code) + ": " + e.Detail }

const (
	formatVersion = 1
	macSize       = 16
	fixedSize     = 1 + 5*8
	maxNameSize   = 255
	randomBits    = 22
)

// NewIncarnation returns a number that no other start of any process uses: the
// start time in milliseconds above random bits. Time alone would collide when
// two VMs start together; random bits alone would not grow.
func NewIncarnation(now time.Time) uint64 {
	var b [4]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic("no randomness: " + err.Error())
	}
	low := uint64(binary.LittleEndian.Uint32(b[:])) & (1<<randomBits - 1)
	return uint64(now.UnixMilli())<<randomBits | low
}

// Mint makes tickets for one incarnation of one entry VM. It is safe for
// concurrent use.
type Mint struct {
	key         []byte
	home        string
	domain      string
	incarnation uint64
	counter     atomic.Uint64
}

// NewMint returns a mint. The key is shared by all entry VMs of a site.
func NewMint(key []byte, home, domain string, incarnation uint64) *Mint {
	return &Mint{key: key, home: home, domain: domain, incarnation: incarnation}
}

// Mint returns a fresh ticket and its token.
func (m *Mint) Mint(account string, expiry time.Time, listVersion, digest uint64) (Ticket, string) {
	return m.Sign(Ticket{
		ID:          m.NextID(),
		Expiry:      expiry,
		ListVersion: listVersion,
		Digest:      digest,
		Home:        m.home,
		Domain:      m.domain,
		Account:     account,
	})
}

// NextID reserves an ID, for callers that choose candidates by it before they
// sign the ticket.
func (m *Mint) NextID() ID {
	return ID{Incarnation: m.incarnation, Counter: m.counter.Add(1)}
}

// Sign renders a ticket as a token. Times are cut to milliseconds.
func (m *Mint) Sign(t Ticket) (Ticket, string) {
	t.Expiry = time.UnixMilli(t.Expiry.UnixMilli())
	body := encode(t)
	body = append(body, mac(m.key, body)...)
	return t, base64.RawURLEncoding.EncodeToString(body)
}

// Parse checks a token and returns its ticket. It does not check expiry or
// account, since an expired ticket may still fetch a retained answer.
func Parse(key []byte, token string) (Ticket, *Error) {
	body, err := base64.RawURLEncoding.DecodeString(token)
	if err != nil || len(body) < fixedSize+macSize {
		return Ticket{}, &Error{reason.BadTicket, "not a ticket: ask POST /v1/tickets for one"}
	}
	signed := body[:len(body)-macSize]
	if !hmac.Equal(mac(key, signed), body[len(signed):]) {
		return Ticket{}, &Error{reason.BadTicket, "signature does not match: the ticket was changed or belongs to another site"}
	}
	return decode(signed)
}

func mac(key, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(body)
	return h.Sum(nil)[:macSize]
}

func encode(t Ticket) []byte {
	b := make([]byte, 0, fixedSize+macSize+len(t.Home)+len(t.Domain)+len(t.Account)+3)
	b = append(b, formatVersion)
	for _, v := range []uint64{t.ID.Incarnation, t.ID.Counter, uint64(t.Expiry.UnixMilli()), t.ListVersion, t.Digest} {
		b = binary.LittleEndian.AppendUint64(b, v)
	}
	for _, s := range []string{t.Home, t.Domain, t.Account} {
		if len(s) > maxNameSize {
			panic("name passed validation with more than 255 bytes: " + s[:32])
		}
		b = append(b, byte(len(s)))
		b = append(b, s...)
	}
	return b
}

func decode(b []byte) (Ticket, *Error) {
	if b[0] != formatVersion {
		return Ticket{}, &Error{reason.BadTicket, fmt.Sprintf("format version %d, want %d", b[0], formatVersion)}
	}
	var fixed [5]uint64
	for i := range fixed {
		fixed[i] = binary.LittleEndian.Uint64(b[1+8*i:])
	}
	var names [3]string
	rest := b[fixedSize:]
	for i := range names {
		if len(rest) == 0 || len(rest) < 1+int(rest[0]) {
			return Ticket{}, &Error{reason.BadTicket, "cut short"}
		}
		names[i] = strings.Clone(string(rest[1 : 1+rest[0]]))
		rest = rest[1+rest[0]:]
	}
	return Ticket{
		ID:          ID{fixed[0], fixed[1]},
		Expiry:      time.UnixMilli(int64(fixed[2])),
		ListVersion: fixed[3],
		Digest:      fixed[4],
		Home:        names[0],
		Domain:      names[1],
		Account:     names[2],
	}, nil
}
