package report

import (
	_ "embed"
	"html/template"
	"io"
	"time"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("report").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// ErrWrite reports a page that could not be written.
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

// shortHashDigits is how many digits of a hash are shown.
const shortHashDigits = 12

// Write writes a source as one HTML page without scripts or outside references; errors are ErrWrite.
func Write(w io.Writer, s Source) error {
	if err := pageTemplate.Execute(w, newPage(s)); err != nil {
		return ErrWrite.New("the page was not written whole (%v); free space and write it again", err)
	}
	return nil
}
