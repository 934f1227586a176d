// Package ticket issues and verifies the tickets that identify submissions.
//
// A ticket names the submission's home, which is the incarnation of an entry VM
// that may start its tasks, and fixes its candidates, the only workers that
// may ever run them. Issuing a ticket has no side effect and needs no store, so
// callers can request any number of tickets and keep them until they expire.
//
// Two tickets never have the same ID, because an incarnation is never reused and
// its counter only increases. A ticket is bound to one client account, and an HMAC
// protects it against changes.
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

// ID identifies a submission. The zero ID is never issued.
type ID struct {
	Incarnation uint64
	Counter     uint64
}

// String returns the ID as "incarnation-counter" in hexadecimal.
func (id ID) String() string {
	return strconv.FormatUint(id.Incarnation, 16) + "-" + strconv.FormatUint(id.Counter, 16)
}

// Ticket is the decoded form of a caller's token.
type Ticket struct {
	ID          ID
	Expiry      time.Time // no task may start after this time
	ListVersion uint64    // version of the VM list that the candidates were chosen from
	Digest      uint64    // digest of the candidates
	Home        string    // entry VM that issued the ticket
	Domain      string    // failure domain of the home
	Account     string    // client account that the ticket was issued to
}

// Generation is the fencing token of a driver of a submission. Workers refuse
// starts under a generation below the highest that they have been sealed under.
// Two entry VMs never have the same generation, because Author is an incarnation.
//
// Raise is compared last: a driver that raises its own generation stays below
// every driver that was above it. Otherwise workers sealed by the other driver
// would accept its starts again, and a task could be started by both. Only
// TakeoverBy passes another driver, and its caller has to seal all candidates
// before it starts a task.
type Generation struct {
	Counter uint32 // number of takeovers before this one
	Author  uint64 // incarnation of the driver
	Raise   uint32 // how often Author has raised it since
}

// Less reports whether g is below other.
func (g Generation) Less(other Generation) bool {
	if g.Counter != other.Counter {
		return g.Counter < other.Counter
	}
	if g.Author != other.Author {
		return g.Author < other.Author
	}
	return g.Raise < other.Raise
}

// TakeoverBy returns the author's first generation. It is above every generation
// that g's author can raise to.
func (g Generation) TakeoverBy(author uint64) Generation {
	return Generation{Counter: g.Counter + 1, Author: author}
}

// Raised returns the same author's next generation. It stays below the generations
// of other authors that are above g.
func (g Generation) Raised() Generation {
	g.Raise++
	return g
}

// Error is the reason why a token was rejected. No task has run when it is returned.
type Error struct {
	Code   reason.Code
	Detail string
}

func (e *Error) Error() string { return string(e.Code) + ": " + e.Detail }

const (
	formatVersion = 1
	macBytes      = 16
	fixedBytes    = 1 + 5*8
	maxNameBytes  = 255
	randomBits    = 22
)

// NewIncarnation returns a number that is unique to one start of a process. Its high
// bits are the start time in milliseconds, its low bits are random. The time alone
// would collide when two VMs start together; random bits alone would not increase
// from start to start.
func NewIncarnation(now time.Time) uint64 {
	var b [4]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic("cannot read random bytes: " + err.Error())
	}
	low := uint64(binary.LittleEndian.Uint32(b[:])) & (1<<randomBits - 1)
	return uint64(now.UnixMilli())<<randomBits | low
}

// Minter issues tickets for one incarnation of an entry VM. It is safe for
// concurrent use.
type Minter struct {
	key         []byte
	home        string
	domain      string
	incarnation uint64
	counter     atomic.Uint64
}

// NewMinter returns a Minter. All entry VMs of a site share the key.
func NewMinter(key []byte, home, domain string, incarnation uint64) *Minter {
	return &Minter{key: key, home: home, domain: domain, incarnation: incarnation}
}

// Mint returns a new ticket and its token.
func (m *Minter) Mint(account string, expiry time.Time, listVersion, digest uint64) (Ticket, string) {
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

// NextID reserves an ID, for callers that need it to choose the candidates before
// they sign the ticket.
func (m *Minter) NextID() ID {
	return ID{Incarnation: m.incarnation, Counter: m.counter.Add(1)}
}

// Sign returns the ticket, with its expiry truncated to milliseconds, and its token.
func (m *Minter) Sign(t Ticket) (Ticket, string) {
	t.Expiry = time.UnixMilli(t.Expiry.UnixMilli())
	body := encode(t)
	body = append(body, mac(m.key, body)...)
	return t, base64.RawURLEncoding.EncodeToString(body)
}

// Parse verifies a token and returns its ticket. It checks neither expiry nor
// account: an expired ticket can still be used to fetch a retained answer.
func Parse(key []byte, token string) (Ticket, *Error) {
	body, err := base64.RawURLEncoding.DecodeString(token)
	if err != nil || len(body) < fixedBytes+macBytes {
		return Ticket{}, &Error{reason.BadTicket, "not a ticket: ask POST /v1/tickets for one"}
	}
	signed := body[:len(body)-macBytes]
	if !hmac.Equal(mac(key, signed), body[len(signed):]) {
		return Ticket{}, &Error{reason.BadTicket, "signature does not match: the ticket was changed or belongs to another site"}
	}
	return decode(signed)
}

func mac(key, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(body)
	return h.Sum(nil)[:macBytes]
}

func encode(t Ticket) []byte {
	b := make([]byte, 0, fixedBytes+macBytes+len(t.Home)+len(t.Domain)+len(t.Account)+3)
	b = append(b, formatVersion)
	for _, v := range []uint64{t.ID.Incarnation, t.ID.Counter, uint64(t.Expiry.UnixMilli()), t.ListVersion, t.Digest} {
		b = binary.LittleEndian.AppendUint64(b, v)
	}
	for _, s := range []string{t.Home, t.Domain, t.Account} {
		if len(s) > maxNameBytes {
			panic("ticket: name of more than 255 bytes passed validation: " + s[:32])
		}
		b = append(b, byte(len(s)))
		b = append(b, s...)
	}
	return b
}

func decode(b []byte) (Ticket, *Error) {
	if b[0] != formatVersion {
		return Ticket{}, &Error{reason.BadTicket, fmt.Sprintf("ticket format version %d is not supported, want %d", b[0], formatVersion)}
	}
	var fixed [5]uint64
	for i := range fixed {
		fixed[i] = binary.LittleEndian.Uint64(b[1+8*i:])
	}
	var names [3]string
	rest := b[fixedBytes:]
	for i := range names {
		if len(rest) == 0 || len(rest) < 1+int(rest[0]) {
			return Ticket{}, &Error{reason.BadTicket, "ticket is truncated"}
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
