package node

import (
	"context"
	"io"
	"net/http"
	"time"

	"otterstep/internal/budget"
)

const (
	// freeMessageBytes is the part of a message that belongs to the fixed cost of its connection.
	freeMessageBytes = 8 << 10
	// parsedFieldBytes is what one field of a head takes once it is parsed, beyond its text.
	parsedFieldBytes = 128
	// maxHeadFields is the number of fields that a head may have.
	maxHeadFields = 256
	// maxMemoryWait is how long a message waits for memory before it is refused.
	maxMemoryWait = 100 * time.Millisecond
)

// countHead counts a part of a head before net/http parses it. It refuses the message if it has too many fields, takes
// memory that is not there, or can be understood in two ways.
func (c *clientConn) countHead(part messagePart) {
	if c.message.Load() == nil {
		c.message.Store(c.owner.memory.NewReservation(freeMessageBytes))
		c.head = headProgress{}
	}
	c.owner.headReceived(c, part.endsHead)
	c.head.lines += part.lines
	if c.head.lines > maxHeadFields {
		c.refuse(refusedTooManyFields)
		return
	}
	if !c.growMessage(int64(part.bytes + part.lines*parsedFieldBytes)) {
		c.refuse(refusedNoMemory)
		return
	}
	if part.refusal != nil {
		c.refuse(part.refusal)
	}
}

// growMessage counts memory of the present message, and waits for it. It returns false if the memory is not there in
// time.
func (c *clientConn) growMessage(bytes int64) bool {
	return growMessage(c.message.Load(), bytes)
}

// growMessage counts memory of a message, and waits for it. It returns false if the memory is not there in time.
func growMessage(message *budget.Reservation, bytes int64) bool {
	if message.TryGrow(bytes, budget.Intake) {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxMemoryWait)
	defer cancel()
	return message.Grow(ctx, bytes, budget.Intake) == nil
}

// releaseMessage ends the use of the present message's memory by the connection.
func (c *clientConn) releaseMessage() {
	if message := c.message.Swap(nil); message != nil {
		message.Release()
	}
}

// messageOf returns the memory of a request's message with one more holder, who has to release it.
func (f *front) messageOf(r *http.Request) *budget.Reservation {
	if c := connOf(r); c != nil {
		if message := c.message.Load(); message != nil {
			message.Hold()
			return message
		}
	}
	return f.clients.memory.NewReservation(freeMessageBytes)
}

// receiveBody reads the body of a request, whose declared length has been checked, once there is memory for it.
func (f *front) receiveBody(r *http.Request, message *budget.Reservation) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	c := connOf(r)
	if c == nil {
		if !growMessage(message, r.ContentLength) {
			return nil, refusedNoMemory
		}
		return readBody(r)
	}
	defer f.clients.setBodyState(c, nil)
	f.clients.setBodyState(c, &f.clients.awaitingMemory)
	if !growMessage(message, r.ContentLength) {
		return nil, refusedNoMemory
	}
	f.clients.setBodyState(c, &f.clients.readingBody)
	body, err := readBody(r)
	f.clients.setBodyState(c, nil) // from here on the message can't be refused any more
	if why := c.refusal.Load(); why != nil {
		return nil, why
	}
	return body, err
}

// readBody reads a body of a declared length.
func readBody(r *http.Request) ([]byte, error) {
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return nil, &clientError{http.StatusRequestTimeout, "body: shorter than its length"}
	}
	return body, nil
}
