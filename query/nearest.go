package query

// Nearest returns the known word with the smallest edit distance to word, or ""
// if all distances exceed half the length of word.
func Nearest(word string, known []string) string {
	best := ""
	limit := len(word)/2 + 1
	for _, k := range known {
		if d := distance(word, k); d < limit {
			best = k
			limit = d
		}
	}
	return best
}

// distance returns the number of edits between two words. Swapping two adjacent
// letters counts as one edit.
func distance(a, b string) int {
	before := make([]int, len(b)+1)
	last := make([]int, len(b)+1)
	row := make([]int, len(b)+1)
	for j := range last {
		last[j] = j
	}
	for i := 1; i <= len(a); i++ {
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			row[j] = min(row[j-1]+1, last[j]+1, last[j-1]+cost)
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				row[j] = min(row[j], before[j-2]+1)
			}
		}
		before, last, row = last, row, before
	}
	return last[len(b)]
}
