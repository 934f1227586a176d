// Package wire converts identifiers between the generated messages and the internal
// types, and builds the HTTP/2 clients and servers for all connections between
// processes.
package wire

import (
	"connectrpc.com/connect"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
)

// ID converts a submission id from its message. A nil message gives the zero ID.
func ID(m *pb.SubmissionID) ticket.ID {
	return ticket.ID{Incarnation: m.GetIncarnation(), Counter: m.GetCounter()}
}

// IDMessage converts a submission id to its message.
func IDMessage(id ticket.ID) *pb.SubmissionID {
	return &pb.SubmissionID{Incarnation: id.Incarnation, Counter: id.Counter}
}

// Generation converts a generation from its message. A nil message gives the lowest
// generation.
func Generation(m *pb.Generation) ticket.Generation {
	return ticket.Generation{Counter: m.GetCounter(), Author: m.GetAuthor(), Raise: m.GetRaise()}
}

// GenerationMessage converts a generation to its message.
func GenerationMessage(g ticket.Generation) *pb.Generation {
	return &pb.Generation{Counter: g.Counter, Author: g.Author, Raise: g.Raise}
}

// ClientOptions returns the options for every client of the project's services,
// followed by more. They turn compression off: messages are short and stay within a
// site, and gzip took a quarter of all CPU time per start (docs/MEASUREMENTS.md).
func ClientOptions(more ...connect.ClientOption) []connect.ClientOption {
	return append([]connect.ClientOption{connect.WithAcceptCompression(gzipName, nil, nil)}, more...)
}

// HandlerOptions returns the options for every handler of the project's services.
// They turn compression off, as ClientOptions do.
func HandlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{connect.WithCompression(gzipName, nil, nil)}
}

const gzipName = "gzip"
