package site

import "github.com/pumiceyard/pumiceyard/internal/request/ticket"

type ticketID = ticket.ID
