package frontend

import "strconv"

// FailedReply is an error reply that leaves open whether the request was executed.
const FailedReply = "-ERR failed\r\n"

// BusyReply is a rejection without a retry delay.
const BusyReply = "-BUSY\r\n"

const (
	microsecondsPerMillisecond = 1000
	deleteCharacter            = 0x7f
)

// AppendBusy appends a rejection. The retry delay is rounded up to whole milliseconds, so that no client retries early.
func AppendBusy(b []byte, retryAfter Time) []byte {
	b = append(b, "-BUSY"...)
	if retryAfter > 0 {
		b = append(b, ' ')
		b = strconv.AppendInt(b, (retryAfter+microsecondsPerMillisecond-1)/microsecondsPerMillisecond, 10)
	}
	return append(b, "\r\n"...)
}

// AppendFailed appends an error reply with a text, which leaves open whether the request was executed. Control characters in
// the text are replaced by spaces, since a line break would end the reply.
func AppendFailed(b []byte, text string) []byte {
	b = append(b, "-ERR "...)
	for i := range len(text) {
		character := text[i]
		if character < ' ' || character == deleteCharacter {
			character = ' '
		}
		b = append(b, character)
	}
	return append(b, "\r\n"...)
}
