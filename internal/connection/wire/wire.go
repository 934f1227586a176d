// Package wire converts between the generated messages and the types that the
// decision packages use, and builds the HTTP/2 clients and servers that all
// connections between processes share.
package wire

import (
	"connectrpc.com/connect"

	pb "github.com/pumiceyard/pumiceyard/api/pumiceyard/v1"
	"github.com/pumiceyard/pumiceyard/internal/request/ticket"
)

// ID reads a submission id. A missing message is the zero ID.
func ID(m *pb.SubmissionID) ticket.ID {
	return ticket.ID{Incarnation: m.GetIncarnation(), Counter: m.GetCounter()}
}

// IDMessage writes a submission id.
func IDMessage(id ticket.ID) *pb.SubmissionID {
	return &pb.SubmissionID{Incarnation: id.Incarnation, Counter: id.Counter}
}

// Generation reads a generation. A missing message is the lowest one.
func Generation(m *pb.Generation) ticket.Generation {
	return ticket.Generation{Counter: m.GetCounter(), Author: m.GetAuthor(), Raise: m.GetRaise()}
}

// GenerationMessage writes a generation.
func GenerationMessage(g ticket.Generation) *pb.Generation {
	return &pb.Generation{Counter: g.Counter, Author: g.Author, Raise: g.Raise}
}

// ClientOptions are for every client of the project's services. They turn
// compression off: messages are short and stay within a site, and gzip took a
// quarter of all CPU per start (docs/MEASUREMENTS.md).
func ClientOptions(more ...connect.ClientOption) []connect.ClientOption {
	return append([]connect.ClientOption{connect.WithAcceptCompression(gzipName, nil, nil)}, more...)
}

// HandlerOptions are for every handler of the project's services.
func HandlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{connect.WithCompression(gzipName, nil, nil)}
}

const gzipName = "gzip"
