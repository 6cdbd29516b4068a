package configerror

import "strings"

const mostNear = 64 // bytes of a word that is compared: the work grows with the square of it

// Suggest finds the known word that the given one was meant to be, or "". Equal distances go to the first.
func Suggest(word string, known []string) string {
	if len(word) > mostNear {
		return ""
	}
	best, least := "", len(word)/3+2
	for _, k := range known {
		if len(k) > mostNear {
			continue
		}
		if d := distance(bare(word), bare(k)); d < least && d < len(k) {
			best, least = k, d
		}
	}
	return best
}

// DidYouMean words the near name as the end of a complaint.
func DidYouMean(word string, known []string) string {
	if near := Suggest(word, known); near != "" {
		return " (did you mean " + Quote(near) + "?)"
	}
	return ""
}

// bare drops what spellings differ in: maxAttempts, max_attempts and max-attempts are one name.
func bare(word string) string {
	return strings.NewReplacer("_", "", "-", "").Replace(strings.ToLower(word))
}

// distance counts the letters to add, drop, change or swap (Damerau and Levenshtein, neighbours only).
func distance(a, b string) int {
	before, last, row := make([]int, len(b)+1), make([]int, len(b)+1), make([]int, len(b)+1)
	for j := range last {
		last[j] = j
	}
	for i := 1; i <= len(a); i++ {
		row[0] = i
		for j := 1; j <= len(b); j++ {
			change := last[j-1]
			if a[i-1] != b[j-1] {
				change++
			}
			row[j] = min(last[j]+1, row[j-1]+1, change)
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				row[j] = min(row[j], before[j-2]+1)
			}
		}
		before, last, row = last, row, before
	}
	return last[len(b)]
}
