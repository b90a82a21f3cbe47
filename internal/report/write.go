package report

import (
	_ "embed"
	"html/template"
	"io"
	"time"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("report").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// ErrWrite reports that a page could not be written.
var ErrWrite = namespace.NewType("write")

//go:embed page.html
var pageHTML string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"time": func(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05.000Z") },
	"short": func(hash string) string {
		return hash[:min(len(hash), shortHashDigits)]
	},
	"rounded": func(d time.Duration) string { return d.Round(10 * time.Microsecond).String() },
}).Parse(pageHTML))

// shortHashDigits is the number of digits of a hash that the page shows.
const shortHashDigits = 12

// Write writes the page for a source as a self-contained HTML document without scripts or external references. Errors are
// ErrWrite.
func Write(w io.Writer, s Source) error {
	if err := pageTemplate.Execute(w, newPage(s)); err != nil {
		return ErrWrite.New("the page was not written completely (%v); free disk space and write it again", err)
	}
	return nil
}
