package operator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/query"
)

// result is the result of a statement. It is printed as text or encoded as
// JSON.
type result interface {
	Text() string
}

// table is a result with rows and named columns.
type table struct {
	columns []string
	rows    [][]string
}

func newTable(columns ...string) *table {
	return &table{
		columns: columns,
		rows:    [][]string{},
	}
}

func (t *table) add(values ...any) {
	r := make([]string, 0, len(values))
	for _, v := range values {
		r = append(r, fmt.Sprint(v))
	}
	t.rows = append(t.rows, r)
}

// filter keeps the rows that match a where clause.
func (t *table) filter(w *query.Where) error {
	if w == nil {
		return nil
	}
	c := -1
	for i, n := range t.columns {
		if n == w.Column {
			c = i
		}
	}
	if c < 0 {
		return unknownNameError("column", w.Column, t.columns)
	}
	rows := [][]string{}
	for _, r := range t.rows {
		if (r[c] == w.Value) != w.Not {
			rows = append(rows, r)
		}
	}
	t.rows = rows
	return nil
}

// Text formats the rows in aligned columns.
func (t *table) Text() string {
	var b bytes.Buffer
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.Join(t.columns, "\t"))
	for _, r := range t.rows {
		_, _ = fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	_ = w.Flush()
	return b.String()
}

// MarshalJSON encodes each row as an object whose keys are the columns.
func (t *table) MarshalJSON() ([]byte, error) {
	l := make([]map[string]string, 0, len(t.rows))
	for _, r := range t.rows {
		o := make(map[string]string, len(r))
		for i, v := range r {
			o[t.columns[i]] = v
		}
		l = append(l, o)
	}
	b, err := json.Marshal(l)
	return b, errors.Wrap(err, "encode table")
}

// print writes a result in the output format of the session.
func (s *Session) print(r result) error {
	if s.config.Output == OutputJSON {
		return errors.Wrap(json.NewEncoder(s.config.Out).Encode(r), "write result")
	}
	_, err := fmt.Fprint(s.config.Out, r.Text())
	return errors.Wrap(err, "write result")
}
