package configerror

import "strings"

// maxComparedBytes bounds the words that are compared, as the work grows with the square of their length.
const maxComparedBytes = 64

// Suggest returns the known word that is most similar to a word, or nothing where none is similar. Of equal distances the first
// one wins.
func Suggest(word string, known []string) string {
	if len(word) > maxComparedBytes {
		return ""
	}
	best, bestDistance := "", len(word)/3+2
	for _, k := range known {
		if len(k) > maxComparedBytes {
			continue
		}
		if d := distance(normalize(word), normalize(k)); d < bestDistance && d < len(k) {
			best, bestDistance = k, d
		}
	}
	return best
}

// DidYouMean returns the suggestion for a word as the end of a message, or nothing.
func DidYouMean(word string, known []string) string {
	if suggested := Suggest(word, known); suggested != "" {
		return " (did you mean " + Quote(suggested) + "?)"
	}
	return ""
}

// normalize drops case and separators: maxAttempts, max_attempts and max-attempts are one name.
func normalize(word string) string {
	return strings.NewReplacer("_", "", "-", "").Replace(strings.ToLower(word))
}

// distance returns the number of bytes to add, remove, change or swap with a neighbour (optimal string alignment, after Damerau
// and Levenshtein).
func distance(a, b string) int {
	// Rows of the matrix of distances between prefixes of a and b: the present one and the two before.
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
