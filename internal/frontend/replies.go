package frontend

import "strconv"

// FailedReply is an answer that says nothing about whether the request was executed.
const FailedReply = "-ERR failed\r\n"

// BusyReply is a refusal without a time to retry after.
const BusyReply = "-BUSY\r\n"

const (
	microsecondsPerMillisecond = 1000
	deleteCharacter            = 0x7f
)

// AppendBusy appends a refusal. The time to retry after is rounded up to milliseconds, so that no client retries early.
func AppendBusy(b []byte, retryAfter Time) []byte {
	b = append(b, "-BUSY"...)
	if retryAfter > 0 {
		b = append(b, ' ')
		b = strconv.AppendInt(b, (retryAfter+microsecondsPerMillisecond-1)/microsecondsPerMillisecond, 10)
	}
	return append(b, "\r\n"...)
}

// AppendFailed appends an answer that says nothing about whether the request was executed, with a text. Control characters of
// the text become spaces: a line break would end the reply.
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
