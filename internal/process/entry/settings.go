package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/connection/caller"
	"github.com/pumiceyard/pumiceyard/internal/connection/peer"
	"github.com/pumiceyard/pumiceyard/internal/connection/secure"
	"github.com/pumiceyard/pumiceyard/internal/connection/upstream"
	"github.com/pumiceyard/pumiceyard/internal/connection/wire"
	"github.com/pumiceyard/pumiceyard/internal/process/claims"
	"github.com/pumiceyard/pumiceyard/internal/process/holder"
	"github.com/pumiceyard/pumiceyard/internal/process/home"
)

// Settings are the startup settings of an entry VM. All other configuration comes
// from the platform.
type Settings struct {
	Name   string `json:"name"`   // unique among the site's entry VMs
	Domain string `json:"domain"` // failure domain of this VM
	Region string `json:"region,omitempty"`

	CallerListen   string `json:"caller_listen"`   // host:port
	OperatorListen string `json:"operator_listen"` // host:port
	PeerListen     string `json:"peer_listen"`     // host:port
	// PeerAddress is the address that other entry VMs dial; empty: that of the
	// peer listener.
	PeerAddress string `json:"peer_address,omitempty"`
	Platform    string `json:"platform"` // base URL of the platform's service
	// Peers are addresses (host:port) of peer listeners of other entry VMs. They
	// are asked for the list of VMs at startup if the platform is unavailable.
	Peers []string `json:"peers,omitempty"`

	TicketKey string `json:"ticket_key"` // shared by the site's entry VMs, at least 16 characters
	PeerToken string `json:"peer_token"` // shared by the site's entry VMs, at least 16 characters

	// TLS configures the operator and peer listeners and connections to peers.
	// Without it, these listeners may use loopback addresses only.
	TLS secure.Files `json:"tls,omitzero"`

	TicketTTLMillis   uint32 `json:"ticket_ttl_millis"`
	LeaseTTLMillis    uint32 `json:"lease_ttl_millis"`
	BeatMillis        uint32 `json:"beat_millis"`         // heartbeat interval, to workers and peers
	SilenceMillis     uint32 `json:"silence_millis"`      // a connection without messages for this long is closed
	ListPollMillis    uint32 `json:"list_poll_millis"`    // maximum interval between reads of the VM list; 0: entry VMs read it in turn
	UnreadyMillis     uint32 `json:"unready_millis"`      // how long a planned stop still accepts requests while unready
	ShutdownMillis    uint32 `json:"shutdown_millis"`     // time limit of a planned stop
	RetainAnswerBytes int    `json:"retain_answer_bytes"` // final answers retained for callers that ask again
	MaxQueuedTasks    int    `json:"max_queued_tasks"`
	MaxBodyBytes      int64  `json:"max_body_bytes"`
	BodyTimeoutMillis uint32 `json:"body_timeout_millis"` // timeout for reading a request body
	Timelines         int    `json:"timelines"`           // submissions whose timeline is retained
	ClaimsPerSecond   uint32 `json:"claims_per_second"`   // rate limit of requests with an Idempotency-Key

	// Wrapper wraps each listener before it is used; nil: none is wrapped.
	Wrapper ListenerWrapper `json:"-"`
	// Dialer opens the connections to other VMs and to the platform; nil: TCP.
	Dialer Dialer `json:"-"`
}

// ListenerWrapper lets a tool measure traffic at a VM's listeners. The role is
// "caller", "operator" or "peer".
type ListenerWrapper interface {
	WrapListener(role string, l net.Listener) net.Listener
}

// Dialer opens connections. *net.Dialer implements it; tools can pass one that
// injects network faults.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// dialer returns the function that opens connections; nil: TCP.
func (s *Settings) dialer() wire.Dialer {
	if s.Dialer == nil {
		return nil
	}
	return s.Dialer.DialContext
}

// DefaultSettings returns the default settings, without names, the platform's
// address and secrets.
func DefaultSettings() Settings {
	return Settings{
		CallerListen:      "127.0.0.1:8080",
		OperatorListen:    "127.0.0.1:8081",
		PeerListen:        "127.0.0.1:8082",
		TicketTTLMillis:   600_000,
		LeaseTTLMillis:    2000,
		BeatMillis:        500,
		SilenceMillis:     1500,
		UnreadyMillis:     1500,
		ShutdownMillis:    20_000,
		RetainAnswerBytes: home.Defaults().RetainBytes,
		MaxQueuedTasks:    holder.Defaults().MaxQueued,
		MaxBodyBytes:      caller.Defaults().MaxBodyBytes,
		BodyTimeoutMillis: uint32(caller.Defaults().BodyTimeout.Milliseconds()),
		Timelines:         20_000,
		ClaimsPerSecond:   uint32(claims.Defaults().PerSecond),
	}
}

// SettingError reports an invalid setting.
type SettingError struct {
	Path    string
	Value   any
	Allowed string
}

func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %s is %v: allowed is %s", e.Path, e.Value, e.Allowed)
}

// LoadSettings reads a settings file on top of the defaults and validates it.
func LoadSettings(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	s, err := ParseSettings(text)
	if err != nil {
		return Settings{}, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// ParseSettings parses settings on top of the defaults. Unknown fields are
// errors, because a misspelt name would otherwise silently leave the default.
func ParseSettings(text []byte) (Settings, error) {
	s := DefaultSettings()
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return s, err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return s, errors.New("something follows the settings object")
	}
	return s, s.Validate()
}

const (
	minSecret   = 16
	maxTicketMS = 3_600_000
	maxNameSize = 64
	maxClaims   = 1000
)

// Validate reports all invalid settings.
func (s *Settings) Validate() error {
	var errs []error
	refuse := func(ok bool, path string, value any, allowed string) {
		if !ok {
			errs = append(errs, &SettingError{path, value, allowed})
		}
	}
	refuse(s.Name != "" && len(s.Name) <= maxNameSize, "name", s.Name, "1 to 64 characters")
	refuse(s.Domain != "" && len(s.Domain) <= maxNameSize, "domain", s.Domain, "1 to 64 characters")
	for _, a := range []struct{ path, value string }{
		{"caller_listen", s.CallerListen}, {"operator_listen", s.OperatorListen}, {"peer_listen", s.PeerListen},
	} {
		_, _, err := net.SplitHostPort(a.value)
		refuse(err == nil, a.path, a.value, "host:port")
	}
	refuse(!s.plainAbroad(s.OperatorListen), "operator_listen", s.OperatorListen, allowedPlain)
	refuse(!s.plainAbroad(s.PeerListen), "peer_listen", s.PeerListen, allowedPlain)
	if err := s.checkTLS(); err != nil {
		errs = append(errs, err)
	}
	for i, a := range s.Peers {
		_, _, err := net.SplitHostPort(a)
		refuse(err == nil, fmt.Sprintf("peers[%d]", i), a, "host:port")
	}
	refuse(s.Platform != "", "platform", s.Platform, "a base URL such as http://10.0.0.1:7000")
	refuse(len(s.TicketKey) >= minSecret, "ticket_key", secret(s.TicketKey), "at least 16 characters")
	refuse(len(s.PeerToken) >= minSecret, "peer_token", secret(s.PeerToken), "at least 16 characters")
	refuse(s.TicketTTLMillis >= 1000 && s.TicketTTLMillis <= maxTicketMS, "ticket_ttl_millis", s.TicketTTLMillis, "1000 to 3600000")
	refuse(s.BeatMillis >= 10 && s.BeatMillis <= 10_000, "beat_millis", s.BeatMillis, "10 to 10000")
	refuse(s.SilenceMillis >= 2*s.BeatMillis, "silence_millis", s.SilenceMillis, "at least twice beat_millis")
	refuse(s.LeaseTTLMillis >= 2*s.BeatMillis && s.LeaseTTLMillis <= 10_000, "lease_ttl_millis", s.LeaseTTLMillis, "from twice beat_millis to 10000")
	refuse(s.ListPollMillis == 0 || s.ListPollMillis >= 50, "list_poll_millis", s.ListPollMillis, "0, or at least 50")
	refuse(s.ShutdownMillis >= 100, "shutdown_millis", s.ShutdownMillis, "at least 100")
	refuse(s.UnreadyMillis < s.ShutdownMillis, "unready_millis", s.UnreadyMillis, "below shutdown_millis")
	refuse(s.RetainAnswerBytes >= 1<<16, "retain_answer_bytes", s.RetainAnswerBytes, "at least 65536")
	refuse(s.MaxQueuedTasks >= 1000, "max_queued_tasks", s.MaxQueuedTasks, "at least 1000")
	refuse(s.MaxBodyBytes >= 1024, "max_body_bytes", s.MaxBodyBytes, "at least 1024")
	refuse(s.BodyTimeoutMillis >= 100, "body_timeout_millis", s.BodyTimeoutMillis, "at least 100")
	refuse(s.Timelines >= 16, "timelines", s.Timelines, "at least 16")
	refuse(s.ClaimsPerSecond <= maxClaims, "claims_per_second", s.ClaimsPerSecond, "0 to 1000")
	return errors.Join(errs...)
}

const allowedPlain = "without tls a loopback address, such as 127.0.0.1:8082; with tls any"

// plainAbroad reports whether a listener would accept unencrypted connections
// from other hosts. Invalid addresses are rejected elsewhere.
func (s *Settings) plainAbroad(address string) bool {
	host, _, err := net.SplitHostPort(address)
	return err == nil && s.TLS.IsEmpty() && host != "localhost" && !net.ParseIP(host).IsLoopback()
}

// checkTLS checks that the TLS files can be loaded.
func (s *Settings) checkTLS() error {
	_, err := s.TLS.Load()
	var file *secure.FileError
	if !errors.As(err, &file) {
		return err
	}
	path := "tls." + string(file.Part) + "_file"
	if file.Err == nil {
		return &SettingError{path, "missing", file.Allowed}
	}
	return &SettingError{path, fmt.Sprintf("%q (%v)", file.Path, file.Err), file.Allowed}
}

// secret hides the text of a secret in messages.
func secret(s string) string { return fmt.Sprintf("%d characters long", len(s)) }

func millis(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

func (s *Settings) upstream() upstream.Settings {
	u := upstream.Defaults()
	u.LeaseTTL = millis(s.LeaseTTLMillis)
	u.HeartbeatInterval = millis(s.BeatMillis)
	u.SilenceTimeout = millis(s.SilenceMillis)
	return u
}

func (s *Settings) peer() peer.Settings {
	p := peer.Defaults()
	p.HeartbeatInterval = millis(s.BeatMillis)
	p.SilenceTimeout = millis(s.SilenceMillis)
	return p
}
