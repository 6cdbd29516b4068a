package operatorconfig

import (
	"errors"
	"math"
	"strconv"
	"strings"
	"time"
)

var errNotSize = errors.New("not a size")

// Size is a number of bytes. Its text form has a binary unit, such as "64KiB".
type Size int64

// sizeUnits lists the units of sizes in descending order.
var sizeUnits = []struct {
	name  string
	bytes int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// String formats the size in the largest unit that represents it exactly.
func (s Size) String() string {
	for _, u := range sizeUnits {
		if int64(s)%u.bytes == 0 && (s != 0 || u.bytes == 1) {
			return strconv.FormatInt(int64(s)/u.bytes, 10) + u.name
		}
	}
	return ""
}

// ParseSize parses digits followed by B, KiB, MiB or GiB. It rejects units of 1000, because their writers often mean 1024.
func ParseSize(text string) (Size, error) {
	for _, u := range sizeUnits {
		digits, ok := strings.CutSuffix(text, u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(digits, 10, 63)
		if err != nil || n > math.MaxInt64/uint64(u.bytes) {
			break
		}
		return Size(int64(n) * u.bytes), nil
	}
	return 0, errNotSize
}

// FormatDuration formats a duration in its shortest form: "2.5s", "1m", "4ms".
func FormatDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}
