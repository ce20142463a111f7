package main

import (
	"fmt"
	"strings"
)

// table holds the values measured at each of several sizes.
type table struct {
	title       string
	sizeHeading string
	columns     []string
	sizes       []float64
	rows        [][]float64
}

func newTable(title, size string, columns ...string) *table {
	return &table{
		title:       title,
		sizeHeading: size,
		columns:     columns,
	}
}

func (t *table) add(x float64, y ...float64) {
	t.sizes = append(t.sizes, x)
	t.rows = append(t.rows, y)
}

// print writes the table in Markdown, with the slope and the intercept of each
// column's least-squares fit as its last rows.
func (t *table) print() {
	fmt.Printf("\n### %s\n\n| %s | %s |\n|%s\n", t.title, t.sizeHeading, strings.Join(t.columns, " | "), strings.Repeat("---|", len(t.columns)+1))
	for i, x := range t.sizes {
		fmt.Printf("| %g |%s\n", x, formatRow(t.rows[i]))
	}
	a := make([]float64, len(t.columns))
	b := make([]float64, len(t.columns))
	for c := range t.columns {
		a[c], b[c] = t.fitLine(c)
	}
	fmt.Printf("| slope |%s\n| at zero |%s\n", formatRow(a), formatRow(b))
}

func formatRow(l []float64) string {
	var b strings.Builder
	for _, v := range l {
		fmt.Fprintf(&b, " %.4g |", v)
	}
	return b.String()
}

// fitLine returns the slope and intercept of the least-squares fit of a column. The
// slope is 0 if all sizes are equal.
func (t *table) fitLine(c int) (slope, zero float64) {
	n := float64(len(t.sizes))
	var sx, sy, sxx, sxy float64
	for i, x := range t.sizes {
		y := t.rows[i][c]
		sx += x
		sy += y
		sxx += x * x
		sxy += x * y
	}
	d := n*sxx - sx*sx
	if d == 0 {
		return 0, sy / n
	}
	slope = (n*sxy - sx*sy) / d
	return slope, (sy - slope*sx) / n
}
