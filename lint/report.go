package lint

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Report is the result of a check.
type Report struct {
	Findings []Finding `json:"findings"`
	// Changes is nil if there was nothing to compare with.
	Changes []Change `json:"changes,omitzero"`
}

// Count returns how many findings and changes have a severity.
func (r *Report) Count(s Severity) int {
	n := 0
	for _, v := range r.Findings {
		if v.Severity == s {
			n++
		}
	}
	for _, v := range r.Changes {
		if v.Severity == s {
			n++
		}
	}
	return n
}

// WriteTable writes the report as tables, and a line with the numbers of errors and warnings.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if len(r.Findings) > 0 {
		_, _ = fmt.Fprintln(t, "SEVERITY\tLOCATION\tENTRY\tFINDING")
		for _, v := range r.Findings {
			_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", v.Severity, orDash(v.Location), v.Entry, v.Text)
		}
		_, _ = fmt.Fprintln(t)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if len(r.Changes) > 0 {
		_, _ = fmt.Fprintln(t, "SEVERITY\tLOCATION\tENTRY\tCHANGE\tEFFECT")
		for _, v := range r.Changes {
			_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", v.Severity, orDash(v.Location), v.Entry, v.Text, v.Effect)
		}
		_, _ = fmt.Fprintln(t)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "%d errors, %d warnings\n", r.Count(Error), r.Count(Warning))
	return err
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
