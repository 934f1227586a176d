package load

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pumiceyard/pumiceyard/client"
)

// traffic counts bytes of one kind of connection, in both directions.
type traffic struct{ read, written atomic.Int64 }

func (t *traffic) total() int64 { return t.read.Load() + t.written.Load() }

// countedConn counts what passes a connection.
type countedConn struct {
	net.Conn
	traffic *traffic
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.read.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.written.Add(int64(n))
	return n, err
}

// countedListener counts what passes the connections that it accepts.
type countedListener struct {
	net.Listener
	traffic *traffic
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, l.traffic}, nil
}

// Bounds of the connections that all accounts share.
const (
	connsPerHost = 1024
	idleTimeout  = time.Minute
)

// transport sends the SDK's requests and counts them.
type transport struct {
	inner   *http.Transport
	bytes   traffic
	all     atomic.Int64 // requests
	tickets atomic.Int64 // of them, for tickets
}

func newTransport() *transport {
	t := &transport{}
	dialer := net.Dialer{}
	t.inner = &http.Transport{
		MaxIdleConnsPerHost: connsPerHost,
		IdleConnTimeout:     idleTimeout,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return countedConn{conn, &t.bytes}, nil
		},
	}
	return t
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(req *http.Request) (*http.Response, error) {
	t.all.Add(1)
	if strings.HasSuffix(req.URL.Path, "/tickets") {
		t.tickets.Add(1)
	}
	return t.inner.RoundTrip(req)
}

// exchange counts what went between the tool and the site.
type exchange struct{ requests, ticketRequests, bytes int64 }

func (t *transport) counts() exchange {
	return exchange{t.all.Load(), t.tickets.Load(), t.bytes.total()}
}

// account holds the SDK clients of one client account.
type account struct {
	client *client.Client
	others map[string]*client.Client // by the endpoint that they leave out
}

func newAccount(key string, endpoints []string, t *transport) (*account, error) {
	connect := func(endpoints []string) (*client.Client, error) {
		return client.New(client.Options{
			Endpoints:     endpoints,
			Key:           key,
			NotRunRetries: notRunRetries,
			HTTP:          &http.Client{Transport: t},
		})
	}
	a := &account{others: make(map[string]*client.Client)}
	var err error
	if a.client, err = connect(endpoints); err != nil {
		return nil, err
	}
	for _, out := range endpoints {
		rest := slices.DeleteFunc(slices.Clone(endpoints), func(e string) bool { return e == out })
		if len(rest) == 0 {
			rest = endpoints
		}
		if a.others[out], err = connect(rest); err != nil {
			return nil, err
		}
	}
	return a, nil
}

// elsewhere returns a client that does not use the endpoint, when there is any
// other.
func (a *account) elsewhere(endpoint string) caller { return a.others[endpoint] }
