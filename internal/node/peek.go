package node

import (
	"errors"
	"syscall"
)

// peekResult is what a look into a socket shows.
type peekResult uint8

const (
	peekedNothing peekResult = iota // the connection is open, and no data has arrived
	peekedData                      // data has arrived
	peekedEnd                       // the peer has closed or reset the connection
)

// peek looks into a non-blocking socket without reading from it.
func peek(descriptor uintptr) peekResult {
	var b [1]byte
	n, _, err := syscall.Recvfrom(int(descriptor), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case n > 0:
		return peekedData
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		return peekedNothing
	}
	return peekedEnd
}
