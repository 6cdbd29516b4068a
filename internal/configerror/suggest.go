package configerror

import "strings"

// maxComparedBytes is the maximum length of words that Suggest compares, because the cost of a comparison grows with the square
// of the length.
const maxComparedBytes = 64

// Suggest returns the known word that is most similar to the given word, or "" if no known word is similar. Of several known
// words at the same distance it returns the first.
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

// DidYouMean returns the suggestion for a word as the end of an error message, or "" if there is no suggestion.
func DidYouMean(word string, known []string) string {
	if suggested := Suggest(word, known); suggested != "" {
		return " (did you mean " + Quote(suggested) + "?)"
	}
	return ""
}

// normalize removes case and separators, so that maxAttempts, max_attempts and max-attempts compare equal.
func normalize(word string) string {
	return strings.NewReplacer("_", "", "-", "").Replace(strings.ToLower(word))
}

// distance returns the Damerau-Levenshtein distance of two words in bytes, as optimal string alignment: the number of insertions,
// deletions, substitutions and swaps of adjacent bytes that turn one word into the other.
func distance(a, b string) int {
	// The current and the two previous rows of the matrix of distances between the prefixes of a and b.
	beforePrevious, previous, row := make([]int, len(b)+1), make([]int, len(b)+1), make([]int, len(b)+1)
	for j := range previous {
		previous[j] = j
	}
	for i := 1; i <= len(a); i++ {
		row[0] = i
		for j := 1; j <= len(b); j++ {
			substitution := previous[j-1]
			if a[i-1] != b[j-1] {
				substitution++
			}
			row[j] = min(previous[j]+1, row[j-1]+1, substitution)
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				row[j] = min(row[j], beforePrevious[j-2]+1)
			}
		}
		beforePrevious, previous, row = previous, row, beforePrevious
	}
	return previous[len(b)]
}
